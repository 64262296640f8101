package io.lentilstream.jobs.scheduling;

/**
 * Holds the bounds that the platform sets for orders to VMs.
 *
 * @param maxLeaseMillis longest lease that a VM grants, in milliseconds
 * @param remoteFactor how many times longer a task takes away from its data
 * @param maxOverTargetMillis how long a serving task may be over its target, in
 * milliseconds
 * @param predecessorLeadershipMillis how long the mandate of a predecessor may outlast a
 * takeover, in milliseconds
 * @param unlistedAfterMillis silence after which a VM is dropped from the list, in
 * milliseconds
 */
public record SchedulerSettings(long maxLeaseMillis, double remoteFactor, long maxOverTargetMillis,
		long predecessorLeadershipMillis, long unlistedAfterMillis) {
}
