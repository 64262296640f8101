package io.lentilstream.requests;

import java.util.Collection;

/**
 * Estimates how long a request waits for a slot, from the requests before it and from the
 * rate at which the attempts in flight free slots. The rate follows the attempts that run
 * now, so it changes with the demand at once.
 */
final class WaitEstimator {

	private WaitEstimator() {
	}

	/**
	 * Estimates a wait.
	 * @param before requests that get a slot earlier
	 * @param slotsPerNano slots that become free per nanosecond
	 * @param fallbackNanos the wait if nothing is in flight
	 * @return nanoseconds
	 */
	static long waitNanos(double before, double slotsPerNano, double fallbackNanos) {
		return (long) ((slotsPerNano > 0) ? (before + 1) / slotsPerNano : fallbackNanos);
	}

	/**
	 * Counts the requests that get a slot before the next one of a team. Other teams only
	 * count as far as their fair share lets them go first.
	 * @param ticket the request
	 * @param teams the teams of the pool
	 * @return requests
	 */
	static double before(Ticket ticket, Collection<TeamQueue> teams) {
		int own = ticket.team.waiting(ticket.urgency).size();
		double all = 0;
		double weights = ticket.team.weight();
		for (TeamQueue team : teams) {
			int waiting = team.waiting(ticket.urgency).size();
			all += waiting;
			if (waiting > 0 && team != ticket.team) {
				weights += team.weight();
			}
		}
		return Math.min(all, (own + 1) * weights / ticket.team.weight());
	}

}
