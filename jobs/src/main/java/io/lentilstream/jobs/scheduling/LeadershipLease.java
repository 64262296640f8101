package io.lentilstream.jobs.scheduling;

import java.util.function.LongSupplier;

/**
 * Is the right of a scheduler to give orders.
 *
 * @param runNumberFloor run numbers will be above this one; must be above those of all
 * predecessors
 * @param leaderUntil until when no successor can have been elected, unless the right was
 * taken away early, on the steady clock in milliseconds. The leases of VMs do not outlast
 * it by more than the longest lease, so that a successor knows when they have ended.
 */
public record LeadershipLease(int runNumberFloor, LongSupplier leaderUntil) {

	/**
	 * Returns a mandate that never ends.
	 * @param runNumberFloor run numbers will be above this one
	 * @return the mandate
	 */
	public static LeadershipLease unlimited(int runNumberFloor) {
		return new LeadershipLease(runNumberFloor, () -> Long.MAX_VALUE / 2);
	}

}
