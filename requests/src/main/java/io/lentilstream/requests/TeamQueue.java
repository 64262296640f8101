package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;

/**
 * The queued requests of one team in a pool, ordered by urgency and deadline, and the
 * number of slots that the team uses.
 */
final class TeamQueue {

	final TeamId team;

	private final List<TreeSet<TrackedRequest>> waiting = new ArrayList<>();

	private double weight = 1;

	private double quota = 1;

	private int inUse;

	TeamQueue(TeamId team) {
		this.team = team;
		for (int i = 0; i < Urgency.values().length; i++) {
			this.waiting.add(new TreeSet<>(TrackedRequest.BY_DEADLINE));
		}
	}

	void updateLimits(double newWeight, double newQuota) {
		this.weight = newWeight;
		this.quota = newQuota;
	}

	void add(TrackedRequest tracked) {
		this.waiting.get(tracked.urgency.ordinal()).add(tracked);
	}

	void remove(TrackedRequest tracked) {
		this.waiting.get(tracked.urgency.ordinal()).remove(tracked);
	}

	TreeSet<TrackedRequest> waiting(Urgency urgency) {
		return this.waiting.get(urgency.ordinal());
	}

	void slotTaken() {
		this.inUse++;
	}

	void slotReleased() {
		this.inUse--;
	}

	int inUse() {
		return this.inUse;
	}

	double weight() {
		return this.weight;
	}

	/**
	 * Returns whether the team uses all slots of its quota. A team without a quota is
	 * never limited, even if its attempts at endpoints that were lost exceed the
	 * remaining slots.
	 * @param capacity the slots of the pool
	 * @return {@code true} if the team may use no further slot
	 */
	boolean atQuota(int capacity) {
		return this.quota < 1 && this.inUse >= Math.max(1, (int) Math.floor(this.quota * capacity));
	}

}
