package io.lentilstream.control.api;

import java.time.Duration;

import io.lentilstream.model.JobId;

/**
 * Says when a caller whose job could not be stored should come back. Load pattern:
 * callers that try a few times while the store is away, and whose last try should come
 * after its return, not all in the same second.
 */
final class RetryAfterRule {

	/** Longest time that a caller is asked to stay away, in seconds. */
	private static final int MAX_SECONDS = 4;

	private static final long SECOND_MILLIS = Duration.ofSeconds(1).toMillis();

	/**
	 * Returns the time after which the caller should try again. An outage is expected to
	 * last about as long again as it has lasted. Urgent callers return first; others are
	 * spread over a second more.
	 * @param outageMillis how long the store has been away, in milliseconds
	 * @param priority the priority of the queue; 0 is the most urgent
	 * @param job the job, which decides where its caller is in the spread
	 * @return whole seconds, at least 1
	 */
	int seconds(long outageMillis, int priority, JobId job) {
		long expectedSeconds = Math.max(1, Math.min(MAX_SECONDS, Math.round((double) outageMillis / SECOND_MILLIS)));
		int spread = (priority > 0) ? (job.hashCode() & 1) : 0;
		return (int) expectedSeconds + spread;
	}

}
