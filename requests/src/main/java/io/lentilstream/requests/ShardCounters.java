package io.lentilstream.requests;

import io.lentilstream.model.Urgency;

/**
 * Counts what happens in one pool. Guarded by the lock of the pool.
 */
final class ShardCounters {

	private final int[] queued = new int[Urgency.values().length];

	int urgentInUse;

	int quietInUse;

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

	int allQueued() {
		int sum = 0;
		for (int count : this.queued) {
			sum += count;
		}
		return sum;
	}

	void slotTaken(Ticket ticket, int change) {
		if (ticket.isUrgent()) {
			this.urgentInUse += change;
		}
		else {
			this.quietInUse += change;
		}
	}

}
