package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;

/**
 * Holds the waiting requests of one team in a pool, by urgency and deadline, and the
 * slots that the team uses.
 */
final class TeamQueue {

	final TeamId team;

	private final List<TreeSet<Ticket>> waiting = new ArrayList<>();

	private double weight = 1;

	private double quota = 1;

	private int inUse;

	TeamQueue(TeamId team) {
		this.team = team;
		for (int i = 0; i < Urgency.values().length; i++) {
			this.waiting.add(new TreeSet<>(Ticket.BY_DEADLINE));
		}
	}

	void limit(double newWeight, double newQuota) {
		this.weight = newWeight;
		this.quota = newQuota;
	}

	void add(Ticket ticket) {
		this.waiting.get(ticket.urgency.ordinal()).add(ticket);
	}

	void remove(Ticket ticket) {
		this.waiting.get(ticket.urgency.ordinal()).remove(ticket);
	}

	TreeSet<Ticket> waiting(Urgency urgency) {
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
	 * Tells whether the team uses all slots of its quota. Without a quota it never does,
	 * even if attempts at lost endpoints exceed the slots that are left.
	 * @param capacity the slots of the pool
	 * @return {@code true} if the team may take no further slot
	 */
	boolean atQuota(int capacity) {
		return this.quota < 1 && this.inUse >= Math.max(1, (int) Math.floor(this.quota * capacity));
	}

}
