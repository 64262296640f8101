package io.lentilstream.jobs.scheduling;

import java.util.function.LongSupplier;

/**
 * The right of a scheduler to send commands to VMs, held while it is the leader.
 *
 * @param runNumberFloor the exclusive lower bound of the run numbers; must be above those
 * of all predecessors
 * @param leaderUntil the time until which no successor can have been elected, unless
 * leadership was revoked early, on the monotonic clock in milliseconds. The leases of VMs
 * outlast it by a limited time, so that a successor can tell when they have expired.
 * @param fence makes VMs refuse earlier commands
 */
public record LeadershipLease(int runNumberFloor, LongSupplier leaderUntil, CommandFence fence) {

	/**
	 * Returns a lease that never expires, without a fence.
	 * @param runNumberFloor the exclusive lower bound of the run numbers
	 * @return the lease
	 */
	public static LeadershipLease unlimited(int runNumberFloor) {
		return new LeadershipLease(runNumberFloor, () -> Long.MAX_VALUE / 2, CommandFence.NONE);
	}

}
