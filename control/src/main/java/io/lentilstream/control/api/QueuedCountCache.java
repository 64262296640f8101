package io.lentilstream.control.api;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the latest counts of waiting jobs that the leader gave, as long as they are fresh
 * enough to be passed on while the leader does not answer.
 */
final class QueuedCountCache {

	/**
	 * Age from which a count is not passed on, in milliseconds. The platform allows 2 s,
	 * of which some are spent on the way.
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
	 * Is a count of waiting jobs.
	 *
	 * @param jobs the number of jobs
	 * @param expiresAt when it is too old, in milliseconds
	 */
	private record Count(int jobs, long expiresAt) {
	}

}
