package io.lentilstream.control.term;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.model.JobId;

/**
 * The cancellations of jobs whose submissions the leader does not know, with the time
 * until which each is kept. Load pattern: the store carries out cancellations after their
 * jobs have been deleted, or in another order than submissions arrive.
 */
final class EarlyCancellations {

	private final long retentionMillis;

	private final Map<JobId, Long> keptUntil = new LinkedHashMap<>();

	EarlyCancellations(long retentionMillis) {
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Adds a cancellation. Has no effect if it is known.
	 * @param job the cancelled job
	 * @param now the current time in milliseconds
	 */
	void add(JobId job, long now) {
		this.keptUntil.putIfAbsent(job, now + this.retentionMillis);
	}

	/**
	 * Keeps a known cancellation for the retention time from now on.
	 * @param job the cancelled job
	 * @param now the current time in milliseconds
	 */
	void keepLonger(JobId job, long now) {
		this.keptUntil.computeIfPresent(job, (id, until) -> now + this.retentionMillis);
	}

	/**
	 * Removes a cancellation.
	 * @param job the job
	 * @return {@code true} if the job was cancelled before it became known
	 */
	boolean remove(JobId job) {
		return this.keptUntil.remove(job) != null;
	}

	/**
	 * Returns the cancellations that need not be kept any longer.
	 * @param now the current time in milliseconds
	 * @param maxJobs the largest number of cancellations to return
	 * @return the cancelled jobs
	 */
	List<JobId> expired(long now, int maxJobs) {
		List<JobId> expired = new ArrayList<>();
		for (Map.Entry<JobId, Long> entry : this.keptUntil.entrySet()) {
			if (expired.size() == maxJobs) {
				break;
			}
			if (now >= entry.getValue()) {
				expired.add(entry.getKey());
			}
		}
		return expired;
	}

}
