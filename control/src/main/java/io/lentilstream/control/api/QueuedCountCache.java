package io.lentilstream.control.api;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Caches the latest counts of queued jobs received from the leader, to be served while
 * they are fresh and the leader does not reply.
 */
final class QueuedCountCache {

	/**
	 * Age from which a count is not served, in milliseconds. The platform allows 2 s,
	 * part of which is spent in transit.
	 */
	private static final long MAX_AGE_MILLIS = 1500;

	private final Map<String, Count> counts = new HashMap<>();

	void put(String queue, int jobs, long askedAt) {
		this.counts.put(queue, new Count(jobs, askedAt + MAX_AGE_MILLIS));
	}

	Optional<Integer> find(String queue, long now) {
		return Optional.ofNullable(this.counts.get(queue)).filter((count) -> now < count.expiresAt).map(Count::jobs);
	}

	/**
	 * A count of queued jobs.
	 *
	 * @param jobs the number of jobs
	 * @param expiresAt when the count becomes too old, in milliseconds
	 */
	private record Count(int jobs, long expiresAt) {
	}

}
