package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * The probation of workers on which everything fails: no work for some time, then one
 * task as a probe. A failure counts against the worker only while the same group has not
 * failed elsewhere, so that a job that can never run puts no worker on probation.
 */
final class WorkerProbation {

	private final ShardState state;

	private final WorkerEligibility eligibility;

	WorkerProbation(ShardState state, WorkerEligibility eligibility) {
		this.state = state;
		this.eligibility = eligibility;
	}

	void recordSuccess(WorkerRecord worker, MonotonicTime now) {
		worker.consecutiveFailures = 0;
		worker.failedGroups.clear();
		if (worker.probation != WorkerRecord.ProbationState.NONE) {
			worker.probation = WorkerRecord.ProbationState.NONE;
			this.eligibility.refresh(worker, now);
		}
	}

	void recordFailure(WorkerRecord worker, TaskRecord task, MonotonicTime now) {
		worker.consecutiveFailures++;
		worker.failedGroups.add(task.group);
		if (worker.probation == WorkerRecord.ProbationState.PROBING || failsEverything(worker)) {
			worker.probation = WorkerRecord.ProbationState.WAITING;
			worker.probeTimeNanos = now.plus(this.state.settings.probation()).nanos();
			for (TaskGroup group : worker.failedGroups) {
				group.failureHistory.removeWorker(worker);
			}
			this.eligibility.refresh(worker, now);
		}
	}

	/**
	 * Allows a probe when the probation time is over.
	 * @param worker the worker
	 * @param now the current time
	 */
	void tick(WorkerRecord worker, MonotonicTime now) {
		if (worker.probation == WorkerRecord.ProbationState.WAITING && now.nanos() - worker.probeTimeNanos >= 0) {
			worker.probation = WorkerRecord.ProbationState.PROBE_DUE;
			this.eligibility.refresh(worker, now);
		}
		else if (worker.probation == WorkerRecord.ProbationState.PROBING && worker.tasks.isEmpty()) {
			// The probe had no result, for example because its job was cancelled.
			worker.probation = WorkerRecord.ProbationState.PROBE_DUE;
			this.eligibility.refresh(worker, now);
		}
	}

	private boolean failsEverything(WorkerRecord worker) {
		if (worker.consecutiveFailures < this.state.settings.failuresBeforeProbation()) {
			return false;
		}
		int jobs = 0;
		for (TaskGroup group : worker.failedGroups) {
			if (group.failureHistory.failedOnlyOn(worker)) {
				jobs += group.anySucceeded ? 2 : 1;
			}
		}
		return jobs >= 2;
	}

}
