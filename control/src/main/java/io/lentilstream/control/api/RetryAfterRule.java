package io.lentilstream.control.api;

import java.time.Duration;

import io.lentilstream.model.JobId;

/**
 * Computes when a caller whose job could not be stored should retry. Callers retry only a
 * few times, so their last retry should come after the recovery of the store, and not all
 * retries in the same second.
 */
final class RetryAfterRule {

	/** Maximum expected outage on which the delay is based, in seconds. */
	private static final int MAX_EXPECTED_SECONDS = 4;

	/** The delay of urgent jobs that found no memory, in seconds. */
	private static final int URGENT_SECONDS = 2;

	/** The shortest delay of other jobs that found no memory, in seconds. */
	private static final int LATER_SECONDS = 4;

	/** Selects the bits of a hash code that are added to it, in seconds. */
	private static final int LATER_SPREAD_MASK = 3;

	private static final long SECOND_MILLIS = Duration.ofSeconds(1).toMillis();

	/**
	 * Returns the delay after which the caller should retry. An outage is expected to
	 * last about as long again as it has lasted so far. Callers with the most urgent
	 * priority retry first; the others are spread over one more second.
	 * @param outageMillis how long the store has been unreachable, in milliseconds
	 * @param priority the priority of the queue; 0 is the most urgent
	 * @param job the job, whose hash code decides whether a second is added
	 * @return the delay in seconds, at least 1
	 */
	int seconds(long outageMillis, int priority, JobId job) {
		long expectedSeconds = Math.max(1,
				Math.min(MAX_EXPECTED_SECONDS, Math.round((double) outageMillis / SECOND_MILLIS)));
		int spread = (priority > 0) ? (job.hashCode() & 1) : 0;
		return (int) expectedSeconds + spread;
	}

	/**
	 * Returns the delay after which a caller should retry whose job found no memory. Jobs
	 * have to end first, so that the queues of most systems move in seconds.
	 * @param priority the priority of the queue; 0 is the most urgent
	 * @param job the job, whose hash code spreads the others
	 * @return the delay in seconds
	 */
	int secondsWithoutCapacity(int priority, JobId job) {
		return (priority > 0) ? LATER_SECONDS + (job.hashCode() & LATER_SPREAD_MASK) : URGENT_SECONDS;
	}

}
