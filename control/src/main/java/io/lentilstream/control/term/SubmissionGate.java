package io.lentilstream.control.term;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.model.JobId;

/**
 * Holds back new jobs while the leader's lease may have expired. A successor waits for
 * the runs that this leader may have started, but only those of jobs that were stored
 * before it took over.
 */
final class SubmissionGate {

	private final BooleanSupplier leaseHeld;

	private final Map<JobId, JobSubmission> waiting = new LinkedHashMap<>();

	SubmissionGate(BooleanSupplier leaseHeld) {
		this.leaseHeld = leaseHeld;
	}

	/**
	 * Adds a new job. A job that is already waiting is left as it is.
	 * @param submission the job
	 */
	void add(JobSubmission submission) {
		this.waiting.putIfAbsent(submission.id(), submission);
	}

	/**
	 * Removes and returns the jobs that may be started.
	 * @return the jobs in order of arrival; empty if the lease may have expired
	 */
	List<JobSubmission> release() {
		if (this.waiting.isEmpty() || !this.leaseHeld.getAsBoolean()) {
			return List.of();
		}
		List<JobSubmission> released = List.copyOf(this.waiting.values());
		this.waiting.clear();
		return released;
	}

}
