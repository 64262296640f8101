package io.lentilstream.entry.requests;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;

/**
 * Is told about the slot that a deferrable request waits for.
 */
public interface SlotHandler {

	/**
	 * A slot of an endpoint is taken for the request.
	 * @param endpoint the endpoint
	 * @param slot gives the slot back
	 * @param deadline the instant until which the slot is held if no outcome is known
	 */
	void granted(EndpointId endpoint, Slot slot, MonotonicTime deadline);

	/**
	 * No slot came free in time.
	 * @param reason why
	 * @param retryAfterMillis milliseconds after which a new try makes sense
	 */
	void refused(NotRunReason reason, long retryAfterMillis);

}
