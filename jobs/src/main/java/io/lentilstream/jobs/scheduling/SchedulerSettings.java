package io.lentilstream.jobs.scheduling;

import java.util.Set;

/**
 * The limits that the platform sets for commands to VMs.
 *
 * @param maxLeaseMillis the longest lease that a VM grants, in milliseconds
 * @param remoteFactor the factor by which a task takes longer away from its data
 * @param maxOverTargetMillis how long a serving task may miss its target, in milliseconds
 * @param predecessorLeadershipMillis how long the leadership of a predecessor may outlast
 * a takeover, in milliseconds
 * @param unlistedAfterMillis the time without heartbeats after which a VM is removed from
 * the list, in milliseconds
 * @param features the optional features that are enabled
 * @param maxJobBytes the memory that all jobs together may take in a leader, in bytes
 */
public record SchedulerSettings(long maxLeaseMillis, double remoteFactor, long maxOverTargetMillis,
		long predecessorLeadershipMillis, long unlistedAfterMillis, Set<SchedulerFeature> features, long maxJobBytes) {

	/** The limit on the memory of jobs if none is given, in bytes. */
	private static final long DEFAULT_MAX_JOB_BYTES = 38L << 20;

	/**
	 * The share of the memory that jobs are accepted for. The rest is for tasks that are
	 * created as long as there are few.
	 */
	private static final double ACCEPTED_SHARE = 0.6;

	/**
	 * How long the leases of VMs may outlast the leadership under which they were
	 * extended, in milliseconds. A successor waits for them before it restarts the tasks
	 * of a VM that is lost.
	 */
	private static final long MAX_LEASE_AFTER_LEADERSHIP_MILLIS = 4500;

	/**
	 * Creates settings with the default limit on the memory of jobs.
	 * @param maxLeaseMillis the longest lease that a VM grants, in milliseconds
	 * @param remoteFactor the factor by which a task takes longer away from its data
	 * @param maxOverTargetMillis how long a serving task may miss its target, in
	 * milliseconds
	 * @param predecessorLeadershipMillis how long the leadership of a predecessor may
	 * outlast a takeover, in milliseconds
	 * @param unlistedAfterMillis the time without heartbeats after which a VM is removed
	 * from the list, in milliseconds
	 * @param features the optional features that are enabled
	 */
	public SchedulerSettings(long maxLeaseMillis, double remoteFactor, long maxOverTargetMillis,
			long predecessorLeadershipMillis, long unlistedAfterMillis, Set<SchedulerFeature> features) {
		this(maxLeaseMillis, remoteFactor, maxOverTargetMillis, predecessorLeadershipMillis, unlistedAfterMillis,
				features, DEFAULT_MAX_JOB_BYTES);
	}

	/**
	 * Returns how long the leases of VMs may outlast the leadership.
	 * @return the time in milliseconds, at most the longest lease
	 */
	long leaseAfterLeadershipMillis() {
		return Math.min(this.maxLeaseMillis, MAX_LEASE_AFTER_LEADERSHIP_MILLIS);
	}

	/**
	 * Returns how long a lease may last on the clock of this process, since that of a VM
	 * may run slow.
	 * @param leaseMillis the lease on the clock of the VM, in milliseconds
	 * @return the time in milliseconds, 5% longer
	 */
	static long onOwnClock(long leaseMillis) {
		return leaseMillis * 21 / 20;
	}

	/**
	 * Returns the memory for which jobs are accepted.
	 * @return the number of bytes
	 */
	public long maxAcceptedBytes() {
		return (long) (ACCEPTED_SHARE * this.maxJobBytes);
	}

	/**
	 * Returns the memory for tasks that steps create beyond those that they may always
	 * have.
	 * @return the number of bytes
	 */
	long maxTaskBytes() {
		return this.maxJobBytes - maxAcceptedBytes();
	}

	/**
	 * Tells whether a feature is enabled.
	 * @param feature the feature
	 * @return {@code true} if it is
	 */
	public boolean enabled(SchedulerFeature feature) {
		return this.features.contains(feature);
	}

}
