package io.lentilstream.requests;

/**
 * Is what became of one attempt, as the daemon observed it. The results match the
 * outcomes of sending to an endpoint; the answer of a peer is mapped to the same results:
 * its answer to {@link Answered}, its "not run" to {@link Refused} and its "unknown" to
 * {@link Broken}.
 */
public sealed interface AttemptResult {

	/**
	 * Returns the number of the attempt.
	 * @return the number that the action for the attempt carried
	 */
	int attempt();

	/**
	 * The whole answer to this very request arrived.
	 *
	 * @param attempt the number of the attempt
	 * @param serverError whether the status is 500 or higher, which counts as a failure
	 * of the endpoint
	 * @param observedNanos nanoseconds from the first byte sent to the whole answer
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
	 * The request was sent, at least in part, and no whole answer arrived.
	 *
	 * @param attempt the number of the attempt
	 */
	record Broken(int attempt) implements AttemptResult {
	}

}
