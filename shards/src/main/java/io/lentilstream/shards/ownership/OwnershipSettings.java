package io.lentilstream.shards.ownership;

import java.time.Duration;

/**
 * The intervals and delays of shard ownership.
 *
 * @param leaseDuration duration of the store lease without renewal
 * @param safetyMargin time before the end of the lease at which commits stop; covers
 * differences in clock rate and a pause between the check of the deadline and the send
 * @param renewInterval time between renewals
 * @param retryInterval delay before a failed store call is retried
 * @param entryVmListInterval time between two lists of the live entry VMs; together with
 * the recovery time, it bounds the time from a lapsed lease to the takeover
 * @param recordListInterval time between two lists of the ownership records of each scope
 * @param releaseDelay time for which a shard must be planned for another VM before its
 * owner releases it
 * @param exclusionDelay time that a free shard may wait for the entry VM planned for it
 * before that VM is excluded from planning
 * @param exclusionDuration time for which such a VM is excluded from planning
 */
public record OwnershipSettings(Duration leaseDuration, Duration safetyMargin, Duration renewInterval,
		Duration retryInterval, Duration entryVmListInterval, Duration recordListInterval, Duration releaseDelay,
		Duration exclusionDelay, Duration exclusionDuration) {

	public OwnershipSettings {
		if (safetyMargin.isNegative() || safetyMargin.compareTo(leaseDuration) >= 0) {
			throw new IllegalArgumentException("safety margin must be at least 0 and below the lease duration");
		}
		if (renewInterval.compareTo(leaseDuration.minus(safetyMargin)) >= 0) {
			throw new IllegalArgumentException(
					"renew interval must be below the lease duration minus the safety margin");
		}
	}

	/**
	 * Returns the default times: the lease of 10 s that the design states, and lists that
	 * detect a lapsed lease within 2 s, which leaves 1 s of the takeover target for the
	 * recovery.
	 * @return the defaults
	 */
	public static OwnershipSettings defaults() {
		return new OwnershipSettings(Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofSeconds(3),
				Duration.ofMillis(500), Duration.ofSeconds(2), Duration.ofSeconds(6), Duration.ofSeconds(15),
				Duration.ofSeconds(5), Duration.ofSeconds(60));
	}

}
