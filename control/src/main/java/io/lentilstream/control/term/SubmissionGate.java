package io.lentilstream.control.term;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.model.JobId;

/**
 * Keeps new jobs back while the leader's lease may have ended. A successor waits for what
 * this leader may have started, but only for jobs that were stored before its takeover.
 */
final class SubmissionGate {

	private final BooleanSupplier leaseHeld;

	private final Map<JobId, JobSubmission> waiting = new LinkedHashMap<>();

	SubmissionGate(BooleanSupplier leaseHeld) {
		this.leaseHeld = leaseHeld;
	}

	/**
	 * Takes in a new job.
	 * @param submission the job
	 */
	void add(JobSubmission submission) {
		this.waiting.putIfAbsent(submission.id(), submission);
	}

	/**
	 * Hands out the jobs that may be started.
	 * @return the jobs, in the order in which they came; empty without the lease
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
