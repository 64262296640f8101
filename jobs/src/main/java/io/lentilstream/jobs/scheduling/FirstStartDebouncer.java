package io.lentilstream.jobs.scheduling;

/**
 * Delays the first runs of long-running tasks until no further ones arrive, so that they
 * are placed together, grouped by image. Load pattern: many long-running jobs that are
 * submitted in a burst, such as after a start of the whole system.
 */
final class FirstStartDebouncer {

	/**
	 * The time without a new long-running step that ends the delay, in milliseconds.
	 */
	private static final long QUIET_MILLIS = 120;

	/** The longest delay of the first step of a burst, in milliseconds. */
	private static final long MAX_WAIT_MILLIS = 600;

	private long quietAt = Long.MIN_VALUE;

	private long latestEnd = Long.MIN_VALUE;

	/**
	 * Starts or extends the delay after a step with long-running tasks was released.
	 * @param now the current time in milliseconds
	 */
	void stepReleased(long now) {
		if (!isDebouncing(now)) {
			this.latestEnd = now + MAX_WAIT_MILLIS;
		}
		this.quietAt = now + QUIET_MILLIS;
	}

	boolean isDebouncing(long now) {
		return now < Math.min(this.quietAt, this.latestEnd);
	}

	boolean defers(Task task, long now) {
		return task.isFirstLongRunningStart() && isDebouncing(now);
	}

}
