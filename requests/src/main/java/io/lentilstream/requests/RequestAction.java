package io.lentilstream.requests;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.VmId;

/**
 * An action that the daemon must perform for a request. {@link Refuse}, {@link Deliver}
 * and {@link ReportUnknown} are final: a request gets exactly one of them, or none if it
 * was cancelled first.
 */
public sealed interface RequestAction {

	/**
	 * Returns the id of the request that the action is for.
	 * @return the request id
	 */
	RequestId request();

	/**
	 * Sends the request to an endpoint and reports the result of the attempt.
	 *
	 * @param request the request
	 * @param attempt the number of the attempt within the request, from 1
	 * @param endpoint the endpoint
	 * @param deadline the instant at which the request times out at the endpoint and the
	 * daemon reports the attempt as broken
	 */
	record Dispatch(RequestId request, int attempt, EndpointId endpoint,
			MonotonicTime deadline) implements RequestAction {
	}

	/**
	 * Forwards the request to a peer entry VM and reports the result of the attempt.
	 *
	 * @param request the request
	 * @param attempt the number of the attempt within the request, from 1
	 * @param peer the entry VM, in this zone or, if spill is allowed, in another one
	 * @param deadline the instant at which the request times out at the peer and the
	 * daemon reports the attempt as broken
	 */
	record Forward(RequestId request, int attempt, VmId peer, MonotonicTime deadline) implements RequestAction {
	}

	/**
	 * Tells the caller that no endpoint ran the request.
	 *
	 * @param request the request
	 * @param outcome the reason and when to retry
	 */
	record Refuse(RequestId request, RequestOutcome.NotRun outcome) implements RequestAction {
	}

	/**
	 * Delivers the answer of an attempt to the caller. Answers of other attempts of the
	 * request are discarded.
	 *
	 * @param request the request
	 * @param attempt the number of the attempt whose answer is delivered
	 */
	record Deliver(RequestId request, int attempt) implements RequestAction {
	}

	/**
	 * Tells the caller that the request was sent and that its outcome is unknown.
	 *
	 * @param request the request
	 * @param outcome the outcome, with the id for a later query
	 */
	record ReportUnknown(RequestId request, RequestOutcome.Unknown outcome) implements RequestAction {
	}

}
