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

	private final ArrayDeque<Long> lastMinute = new ArrayDeque<>();

	private double available;

	private MonotonicTime refilled;

	EvictionBudget(int perMinute, MonotonicTime now) {
		this.perMinute = perMinute;
		this.refilled = now;
	}

	/**
	 * Takes some evictions if all of them are within the bound. A set larger than the
	 * burst may be taken in advance, or it would never be allowed.
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
		while (!this.lastMinute.isEmpty() && now.nanos() - this.lastMinute.peekFirst() >= NANOS_PER_MINUTE) {
			this.lastMinute.removeFirst();
		}
		if (this.available < Math.min(burst(), evictions) || evictions > this.perMinute - this.lastMinute.size()) {
			return false;
		}
		this.available -= evictions;
		for (int i = 0; i < evictions; i++) {
			this.lastMinute.addLast(now.nanos());
		}
		return true;
	}

	/**
	 * Tells whether a set of evictions is allowed at any time.
	 * @param evictions the number of evictions
	 * @return whether the set is within the bound of a minute
	 */
	boolean everAllows(int evictions) {
		return evictions <= this.perMinute;
	}

	// A full minute's worth at once would delay urgent relief for the rest of the minute.
	private double burst() {
		return Math.max(1, this.perMinute / 10.0);
	}

}
