package io.lentilstream.entry.requests;

import io.lentilstream.model.RequestOutcome;

/**
 * Is the outcome of forwarding a request to a peer entry VM.
 */
public sealed interface ForwardOutcome {

	/**
	 * The peer told the outcome.
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
	 * The request was sent, and the peer did not reply in time.
	 *
	 * @param reason a short reason for logs
	 */
	record Broken(String reason) implements ForwardOutcome {
	}

}
