package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;

import io.lentilstream.model.MonotonicTime;

/**
 * A limit on the evictions per minute for fair shares and overload.
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
	 * Acquires permission for a set of evictions, all or none. A set larger than the
	 * burst may be granted in advance, since it would otherwise never be granted.
	 * @param evictions the number of evictions
	 * @param now the current time
	 * @return whether they are within the limit
	 */
	boolean tryAcquire(int evictions, MonotonicTime now) {
		if (now.isAfter(this.refilledAt)) {
			double minutes = (now.nanos() - this.refilledAt.nanos()) / NANOS_PER_MINUTE;
			this.available = Math.min(burst(), this.available + minutes * this.perMinute);
			this.refilledAt = now;
		}
		while (!this.grantedLastMinute.isEmpty()
				&& now.nanos() - this.grantedLastMinute.peekFirst() >= NANOS_PER_MINUTE) {
			this.grantedLastMinute.removeFirst();
		}
		if (this.available < Math.min(burst(), evictions)
				|| evictions > this.perMinute - this.grantedLastMinute.size()) {
			return false;
		}
		this.available -= evictions;
		for (int i = 0; i < evictions; i++) {
			this.grantedLastMinute.addLast(now.nanos());
		}
		return true;
	}

	/**
	 * Tells whether a set of evictions can ever be granted.
	 * @param evictions the number of evictions
	 * @return whether the set is within the limit of a minute
	 */
	boolean canEverAcquire(int evictions) {
		return evictions <= this.perMinute;
	}

	// A burst of the whole limit would delay the relief of an overloaded VM for the rest
	// of the minute.
	private double burst() {
		return Math.max(1, this.perMinute / 10.0);
	}

}
