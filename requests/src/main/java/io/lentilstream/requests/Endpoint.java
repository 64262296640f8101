package io.lentilstream.requests;

import io.lentilstream.model.EndpointId;

/**
 * Holds what is known about one endpoint. Guarded by the lock of its pool.
 */
final class Endpoint {

	final EndpointId id;

	final EndpointHealth health = new EndpointHealth();

	int capacity;

	boolean owned;

	boolean listedAsLeaving;

	boolean refusedAsLeaving;

	boolean baselineKnown;

	int baseline;

	/** The baseline that the daemon gave last; the same one again changes nothing. */
	int givenBaseline = -1;

	int inUse;

	boolean paused;

	int pauses;

	/** Slots that may be used now; 0 while the endpoint gets no work. */
	int limit;

	/** The bucket of the ledger that holds the endpoint, or -1. */
	int level = -1;

	int position;

	TimerQueue.Timer baselineTimer;

	TimerQueue.Timer probeTimer;

	Endpoint(EndpointId id) {
		this.id = id;
	}

	boolean acceptsWork() {
		return this.owned && !this.listedAsLeaving && !this.refusedAsLeaving && this.baselineKnown;
	}

	boolean hasRoom() {
		return this.inUse + this.baseline < this.capacity;
	}

}
