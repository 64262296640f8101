package io.lentilstream.tasks.scheduling;

import java.time.Duration;

import io.lentilstream.model.MonotonicTime;

/**
 * Bounds the evictions per minute for quotas and overload.
 */
final class EvictionBudget {

	private static final double NANOS_PER_MINUTE = Duration.ofMinutes(1).toNanos();

	private final int perMinute;

	private double available;

	private MonotonicTime refilled;

	EvictionBudget(int perMinute, MonotonicTime now) {
		this.perMinute = perMinute;
		this.refilled = now;
	}

	/**
	 * Takes some evictions if all of them are within the bound.
	 * @param evictions the number of evictions
	 * @param now the current time
	 * @return whether they are within the bound
	 */
	boolean tryTake(int evictions, MonotonicTime now) {
		if (now.isAfter(this.refilled)) {
			double minutes = (now.nanos() - this.refilled.nanos()) / NANOS_PER_MINUTE;
			this.available = Math.min(burst(), this.available + minutes * this.perMinute);
			this.refilled = now;
		}
		if (this.available < evictions) {
			return false;
		}
		this.available -= evictions;
		return true;
	}

	// A full minute's worth at once would double the bound over one minute.
	private double burst() {
		return Math.max(1, this.perMinute / 10.0);
	}

}
