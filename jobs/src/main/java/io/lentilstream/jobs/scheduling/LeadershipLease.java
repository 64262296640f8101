package io.lentilstream.jobs.scheduling;

import java.util.function.LongSupplier;

/**
 * The right of a scheduler to send commands to VMs, held while it is the leader.
 *
 * @param runNumberFloor run numbers are greater than this one; must be above those of all
 * predecessors
 * @param leaderUntil until when no successor can have been elected, unless leadership was
 * revoked early, on the steady clock in milliseconds. The leases of VMs do not outlast it
 * by more than the longest lease, so that a successor knows when they have ended.
 */
public record LeadershipLease(int runNumberFloor, LongSupplier leaderUntil) {

	/**
	 * Returns a lease that never expires.
	 * @param runNumberFloor run numbers will be above this one
	 * @return the lease
	 */
	public static LeadershipLease unlimited(int runNumberFloor) {
		return new LeadershipLease(runNumberFloor, () -> Long.MAX_VALUE / 2);
	}

}
