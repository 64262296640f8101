package io.lentilstream.entry.requests;

import io.lentilstream.clients.EndpointOutcome;

/**
 * A slot of an endpoint, reserved for one attempt. It must be released exactly once.
 */
public interface Slot {

	/**
	 * Releases the slot after the attempt.
	 * @param outcome the outcome of the attempt
	 */
	void releaseAfter(EndpointOutcome outcome);

	/**
	 * Releases the slot without an attempt.
	 */
	void releaseUnused();

}
