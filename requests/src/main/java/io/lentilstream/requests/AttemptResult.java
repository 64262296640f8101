package io.lentilstream.requests;

/**
 * The result of an attempt as observed by the daemon. It corresponds to the outcome of
 * sending to an endpoint. Responses of a peer are mapped to the same results: an answer
 * to {@link Answered}, "not run" to {@link Refused} and "unknown" to {@link Broken}.
 */
public sealed interface AttemptResult {

	/**
	 * Returns the number of the attempt.
	 * @return the number from the action that started the attempt
	 */
	int attempt();

	/**
	 * The complete answer to this request arrived.
	 *
	 * @param attempt the number of the attempt
	 * @param serverError whether the status is 500 or higher, which counts as a failure
	 * of the endpoint
	 * @param observedNanos nanoseconds from the first byte sent to the complete answer
	 */
	record Answered(int attempt, boolean serverError, long observedNanos) implements AttemptResult {
	}

	/**
	 * The endpoint or peer refused the request before running it.
	 *
	 * @param attempt the number of the attempt
	 * @param leaving whether it refused because it is leaving, not because it is full
	 */
	record Refused(int attempt, boolean leaving) implements AttemptResult {
	}

	/**
	 * The connection failed before any byte of the request was written.
	 *
	 * @param attempt the number of the attempt
	 */
	record NotSent(int attempt) implements AttemptResult {
	}

	/**
	 * At least part of the request was sent, and no complete answer arrived.
	 *
	 * @param attempt the number of the attempt
	 */
	record Broken(int attempt) implements AttemptResult {
	}

}
