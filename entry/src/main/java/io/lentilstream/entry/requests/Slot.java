package io.lentilstream.entry.requests;

import io.lentilstream.clients.EndpointOutcome;

/**
 * Is a slot of an endpoint that is taken for one attempt.
 */
public interface Slot {

	/**
	 * Frees the slot after the attempt.
	 * @param outcome what became of the attempt
	 */
	void releaseAfter(EndpointOutcome outcome);

	/**
	 * Frees the slot without an attempt.
	 */
	void releaseUnused();

}
