package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;

import io.lentilstream.model.MonotonicTime;

/**
 * Bounds the evictions per minute for quotas and overload.
 */
final class EvictionBudget {

	private static final double NANOS_PER_MINUTE = Duration.ofMinutes(1).toNanos();

	private final int perMinute;

	private final ArrayDeque<Long> grantedLastMinute = new ArrayDeque<>();

	private double available;

	private MonotonicTime refilledAt;

	EvictionBudget(int perMinute, MonotonicTime now) {
		this.perMinute = perMinute;
		this.refilledAt = now;
	}

	/**
	 * Takes some evictions if all of them are within the bound. A set larger than the
	 * burst may be taken in advance, or it would never be allowed.
	 * @param evictions the number of evictions
	 * @param now the current time
	 * @return whether they are within the bound
	 */
	boolean tryAcquire(int evictions, MonotonicTime now) {
		if (now.isAfter(this.refilledAt)) {
			double minutes = (now.nanos() - this.refilledAt.nanos()) / NANOS_PER_MINUTE;
			this.available = Math.min(burst(), this.available + minutes * this.perMinute);
			this.refilledAt = now;
		}
		while (!this.grantedLastMinute.isEmpty() && now.nanos() - this.grantedLastMinute.peekFirst() >= NANOS_PER_MINUTE) {
			this.grantedLastMinute.removeFirst();
		}
		if (this.available < Math.min(burst(), evictions) || evictions > this.perMinute - this.grantedLastMinute.size()) {
			return false;
		}
		this.available -= evictions;
		for (int i = 0; i < evictions; i++) {
			this.grantedLastMinute.addLast(now.nanos());
		}
		return true;
	}

	/**
	 * Tells whether a set of evictions is allowed at any time.
	 * @param evictions the number of evictions
	 * @return whether the set is within the bound of a minute
	 */
	boolean canEverAcquire(int evictions) {
		return evictions <= this.perMinute;
	}

	// A full minute's worth at once would delay urgent relief for the rest of the minute.
	private double burst() {
		return Math.max(1, this.perMinute / 10.0);
	}

}
