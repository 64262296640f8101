package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * Puts workers that fail everything on probation: no work for a while, then one probe. A
 * failure counts against the worker only while the same job has not failed elsewhere, so
 * that a job that can never run takes no workers with it.
 */
final class ProbationRule {

	private final ShardState state;

	private final WorkerOpeningRule opening;

	ProbationRule(ShardState state, WorkerOpeningRule opening) {
		this.state = state;
		this.opening = opening;
	}

	void succeeded(WorkerRecord worker, MonotonicTime now) {
		worker.failuresInRow = 0;
		worker.failedGroups.clear();
		if (worker.probation != WorkerRecord.ProbationState.NONE) {
			worker.probation = WorkerRecord.ProbationState.NONE;
			this.opening.refresh(worker, now);
		}
	}

	void failed(WorkerRecord worker, TaskRecord task, MonotonicTime now) {
		worker.failuresInRow++;
		worker.failedGroups.add(task.group);
		if (worker.probation == WorkerRecord.ProbationState.PROBING || failsEverything(worker)) {
			worker.probation = WorkerRecord.ProbationState.WAITING;
			worker.probationUntilNanos = now.plus(this.state.settings.probation()).nanos();
			for (TaskGroup group : worker.failedGroups) {
				group.failures.forget(worker);
			}
			this.opening.refresh(worker, now);
		}
	}

	/**
	 * Allows the probe when the probation is over.
	 * @param worker the worker
	 * @param now the current time
	 */
	void tick(WorkerRecord worker, MonotonicTime now) {
		if (worker.probation == WorkerRecord.ProbationState.WAITING && now.nanos() - worker.probationUntilNanos >= 0) {
			worker.probation = WorkerRecord.ProbationState.PROBE_DUE;
			this.opening.refresh(worker, now);
		}
		else if (worker.probation == WorkerRecord.ProbationState.PROBING && worker.tasks.isEmpty()) {
			// The probe ended without a verdict, for example because its job was
			// cancelled.
			worker.probation = WorkerRecord.ProbationState.PROBE_DUE;
			this.opening.refresh(worker, now);
		}
	}

	private boolean failsEverything(WorkerRecord worker) {
		if (worker.failuresInRow < this.state.settings.failuresBeforeProbation()) {
			return false;
		}
		int jobs = 0;
		for (TaskGroup group : worker.failedGroups) {
			if (group.failures.onlyOn(worker)) {
				jobs += group.succeeded ? 2 : 1;
			}
		}
		return jobs >= 2;
	}

}
