package io.lentilstream.jobs.scheduling;

/**
 * Lets long-running tasks that have not run yet wait until no more of them come, so that
 * they are placed together by image. Load pattern: many long-running jobs that are handed
 * in within a moment, as after a start of the whole system.
 */
final class FirstStartDebouncer {

	/** Time without a new long-running step after which placing begins. */
	private static final long QUIET_MILLIS = 120;

	/** Longest time that the first one waits, in milliseconds. */
	private static final long MOST_MILLIS = 600;

	private long quietAt = Long.MIN_VALUE;

	private long endsBy = Long.MIN_VALUE;

	/**
	 * Notes that a step with long-running tasks has opened.
	 * @param now the current time in milliseconds
	 */
	void opened(long now) {
		if (!gathers(now)) {
			this.endsBy = now + MOST_MILLIS;
		}
		this.quietAt = now + QUIET_MILLIS;
	}

	boolean gathers(long now) {
		return now < Math.min(this.quietAt, this.endsBy);
	}

	boolean holds(Task task, long now) {
		return task.firstLongRun() && gathers(now);
	}

}
