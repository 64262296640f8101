package io.lentilstream.requests;

import io.lentilstream.model.Urgency;

/**
 * Counters of one endpoint pool. Guarded by the lock of the pool.
 */
final class PoolCounters {

	private final int[] queued = new int[Urgency.values().length];

	int urgentInUse;

	int nonUrgentInUse;

	int stragglers;

	long dispatched;

	long forwarded;

	long delivered;

	long refused;

	long unknown;

	long retried;

	long hedged;

	long discarded;

	void queued(Urgency urgency, int change) {
		this.queued[urgency.ordinal()] += change;
	}

	int queued(Urgency urgency) {
		return this.queued[urgency.ordinal()];
	}

	int totalQueued() {
		int sum = 0;
		for (int count : this.queued) {
			sum += count;
		}
		return sum;
	}

	void slotTaken(TrackedRequest tracked, int change) {
		if (tracked.isUrgent()) {
			this.urgentInUse += change;
		}
		else {
			this.nonUrgentInUse += change;
		}
	}

}
