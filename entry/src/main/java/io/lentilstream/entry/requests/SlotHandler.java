package io.lentilstream.entry.requests;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;

/**
 * The handler of a slot request.
 */
public interface SlotHandler {

	/**
	 * Called when a slot of an endpoint was reserved for the request.
	 * @param endpoint the endpoint
	 * @param slot the slot, which the handler must release
	 * @param deadline the instant until which the slot stays reserved if the attempt has
	 * no known outcome
	 */
	void granted(EndpointId endpoint, Slot slot, MonotonicTime deadline);

	/**
	 * Called when the request was refused and gets no slot.
	 * @param reason the reason
	 * @param retryAfterMillis the delay after which to retry, in milliseconds
	 */
	void refused(NotRunReason reason, long retryAfterMillis);

}
