package io.lentilstream.requests;

import java.util.Collection;

/**
 * Estimates the queueing delay of a request from the requests ahead of it and the rate at
 * which the attempts in flight release slots. The rate is computed from the attempts in
 * flight now, so it follows changes in demand immediately.
 */
final class WaitEstimator {

	private WaitEstimator() {
	}

	/**
	 * Estimates the wait for a slot.
	 * @param before the requests that get a slot earlier
	 * @param slotsPerNano the release rate, in slots per nanosecond
	 * @param fallbackNanos the wait if nothing is in flight, in nanoseconds
	 * @return the estimated wait, in nanoseconds
	 */
	static long waitNanos(double before, double slotsPerNano, double fallbackNanos) {
		return (long) ((slotsPerNano > 0) ? (before + 1) / slotsPerNano : fallbackNanos);
	}

	/**
	 * Estimates how many requests get a slot before the given one. Requests of other
	 * teams count only up to the fair share of those teams.
	 * @param tracked the request
	 * @param teams the teams of the pool
	 * @return the number of requests ahead
	 */
	static double requestsAhead(TrackedRequest tracked, Collection<TeamQueue> teams) {
		int own = tracked.team.waiting(tracked.urgency).size();
		double all = 0;
		double weights = tracked.team.weight();
		for (TeamQueue team : teams) {
			int waiting = team.waiting(tracked.urgency).size();
			all += waiting;
			if (waiting > 0 && team != tracked.team) {
				weights += team.weight();
			}
		}
		return Math.min(all, (own + 1) * weights / tracked.team.weight());
	}

}
