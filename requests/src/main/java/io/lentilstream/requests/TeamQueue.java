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
	 * Returns how many slots the team may use.
	 * @param capacity the slots of the pool
	 * @return slots, at least 1
	 */
	int slotLimit(int capacity) {
		return Math.max(1, (int) Math.floor(this.quota * capacity));
	}

}
