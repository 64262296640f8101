package io.lentilstream.entry.requests;

import io.lentilstream.model.RequestOutcome;

/**
 * The outcome of forwarding a request to a peer entry VM.
 */
public sealed interface ForwardOutcome {

	/**
	 * The peer replied with the outcome of the request.
	 *
	 * @param outcome the outcome
	 */
	record Replied(RequestOutcome outcome) implements ForwardOutcome {
	}

	/**
	 * Nothing was sent to the peer.
	 *
	 * @param reason a short reason for logs
	 */
	record NotSent(String reason) implements ForwardOutcome {
	}

	/**
	 * The request was sent, but no reply was received before the timeout or the end of
	 * the link.
	 *
	 * @param reason a short reason for logs
	 */
	record Broken(String reason) implements ForwardOutcome {
	}

}
