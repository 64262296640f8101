package io.lentilstream.shards.ownership;

import java.time.Duration;

/**
 * Holds the times of shard ownership.
 *
 * @param leaseLength how long the store lease lasts without renewal
 * @param safetyMargin how long before the end of the lease commits stop; covers the
 * difference in clock rates and a pause between the check and the send
 * @param renewInterval time between renewals
 * @param retryInterval time before a failed store call is tried again
 * @param entriesInterval time between two lists of the live entry VMs; with the recovery,
 * it bounds the time from a lapsed lease to the takeover
 * @param recordsInterval time between two lists of the ownership records of each scope
 * @param releaseDelay how long a shard must be surplus before it is released
 * @param passOverDelay how long a free shard waits for the entry VM that should take it
 * before the others plan without that VM
 * @param passOverLength how long the others plan without that VM
 */
public record OwnershipSettings(Duration leaseLength, Duration safetyMargin, Duration renewInterval,
		Duration retryInterval, Duration entriesInterval, Duration recordsInterval, Duration releaseDelay,
		Duration passOverDelay, Duration passOverLength) {

	public OwnershipSettings {
		if (safetyMargin.isNegative() || safetyMargin.compareTo(leaseLength) >= 0) {
			throw new IllegalArgumentException("safety margin not between 0 and the lease length");
		}
		if (renewInterval.compareTo(leaseLength.minus(safetyMargin)) >= 0) {
			throw new IllegalArgumentException("renew interval not below lease length minus safety margin");
		}
	}

	/**
	 * Returns the default times: a lease of 10 s as stated in the design, and lists that
	 * notice a lapsed lease within 2 s, which leaves 1 s of the takeover target for the
	 * recovery.
	 * @return the defaults
	 */
	public static OwnershipSettings defaults() {
		return new OwnershipSettings(Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofSeconds(3),
				Duration.ofMillis(500), Duration.ofSeconds(2), Duration.ofSeconds(6), Duration.ofSeconds(15),
				Duration.ofSeconds(5), Duration.ofSeconds(60));
	}

}
