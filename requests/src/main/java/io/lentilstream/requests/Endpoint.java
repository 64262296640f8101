package io.lentilstream.requests;

import io.lentilstream.model.EndpointId;

/**
 * The state of one endpoint. Guarded by the lock of its pool.
 */
final class Endpoint {

	final EndpointId id;

	final EndpointHealth health = new EndpointHealth();

	int capacity;

	boolean owned;

	boolean listedAsLeaving;

	boolean refusedAsLeaving;

	boolean inheritedKnown;

	int inherited;

	/** The last reported count of inherited attempts; the same count again is ignored. */
	int reportedInherited = -1;

	int inUse;

	boolean paused;

	int pauses;

	/** Slots that may be used now; 0 while the endpoint accepts no work or is paused. */
	int limit;

	/** The bucket of the slot tracker that contains the endpoint, or -1. */
	int bucket = -1;

	int position;

	TimerQueue.Timer inheritedTimer;

	TimerQueue.Timer probeTimer;

	Endpoint(EndpointId id) {
		this.id = id;
	}

	boolean acceptsWork() {
		return this.owned && !this.listedAsLeaving && !this.refusedAsLeaving && this.inheritedKnown;
	}

	boolean hasFreeSlot() {
		return this.inUse + this.inherited < this.capacity;
	}

}
