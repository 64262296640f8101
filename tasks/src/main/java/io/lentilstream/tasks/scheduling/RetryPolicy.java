package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.log.TaskLogEntry;

/**
 * The policy for failed attempts: delays retries exponentially, and fails tasks and jobs
 * that failed with the same reason on several distinct workers.
 */
final class RetryPolicy {

	private static final Duration FIRST_DELAY = Duration.ofMillis(500);

	private static final Duration LONGEST_DELAY = Duration.ofSeconds(60);

	private final ShardState state;

	private final PendingQueue queue;

	private final Placements placements;

	private final WorkerProbation probation;

	private final JobLifecycle jobLifecycle;

	private final CrashTracker crashTracker = new CrashTracker();

	RetryPolicy(ShardState state, PendingQueue queue, Placements placements, WorkerProbation probation,
			JobLifecycle jobLifecycle) {
		this.state = state;
		this.queue = queue;
		this.placements = placements;
		this.probation = probation;
		this.jobLifecycle = jobLifecycle;
	}

	/**
	 * Handles the failure of an attempt.
	 * @param task the task, which no longer runs
	 * @param reason the reason that the worker gave
	 * @param step the step
	 * @param now the current time
	 */
	void handleFailure(TaskRecord task, String reason, StepBuilder step, MonotonicTime now) {
		WorkerRecord worker = task.worker;
		if (task.state.isEnded()) {
			this.placements.release(task, now);
			return;
		}
		TaskGroup group = task.group;
		group.consecutiveFailures++;
		group.failureHistory.add(reason, worker);
		if (task.failureHistory == null) {
			task.failureHistory = new FailureHistory();
		}
		int taskWorkers = task.failureHistory.add(reason, worker);
		this.probation.recordFailure(worker, task, now);
		// Counted after the probation check, which removes failures on workers on which
		// everything fails.
		int groupWorkers = group.failureHistory.distinctWorkers(reason);
		int required = requiredDistinctWorkers();
		if (!group.anySucceeded && group.consecutiveFailures >= this.state.settings.distinctWorkersBeforeFailure()
				&& groupWorkers >= required) {
			this.placements.release(task, now);
			failJob(group.job, TaskMessages.repeatedFailure(reason, groupWorkers), step, now);
		}
		else if (group.anySucceeded && taskWorkers >= required) {
			failTask(task, TaskMessages.repeatedFailure(reason, taskWorkers), step, now);
		}
		else {
			int doublings = Math.min(group.consecutiveFailures - 1, 7);
			Duration delay = FIRST_DELAY.multipliedBy(1L << doublings);
			delay = (delay.compareTo(LONGEST_DELAY) < 0) ? delay : LONGEST_DELAY;
			this.queue.delay(group, now.plus(delay).nanos());
			this.placements.release(task, now);
		}
	}

	/**
	 * Handles the crash of a worker: releases the tasks that were lost, and gives up the
	 * one that is responsible, or its job if no equal task has finished.
	 * @param lost the tasks that were lost
	 * @param step the step
	 * @param now the current time
	 */
	void handleCrash(List<TaskRecord> lost, StepBuilder step, MonotonicTime now) {
		lost.forEach((task) -> this.placements.release(task, now));
		TaskRecord task = this.crashTracker.recordCrash(lost);
		if (task.state.isEnded() || !this.crashTracker.responsible(task)) {
			return;
		}
		String problem = TaskMessages.crashedWorkers(this.crashTracker.crashes(task));
		if (task.group.anySucceeded) {
			failTask(task, problem, step, now);
		}
		else {
			failJob(task.group.job, problem, step, now);
		}
	}

	void recordSuccess(TaskRecord task) {
		task.group.anySucceeded = true;
		task.group.consecutiveFailures = 0;
	}

	void failJob(JobRecord job, String problem, StepBuilder step, MonotonicTime now) {
		job.problem = problem;
		step.addEntry(new TaskLogEntry.JobFailed(job.sequence, problem));
		this.jobLifecycle.endAll(job, TaskState.FAILED, step, now);
	}

	private void failTask(TaskRecord task, String problem, StepBuilder step, MonotonicTime now) {
		JobRecord job = task.group.job;
		job.problem = problem;
		step.addEntry(new TaskLogEntry.TaskFailed(StepBuilder.key(task), problem));
		this.placements.releaseAndEnd(task, TaskEvent.GIVEN_UP);
		this.jobLifecycle.recordEndIfEnded(job, now);
	}

	// Otherwise nothing would ever fail in a shard with fewer workers than the setting.
	private int requiredDistinctWorkers() {
		int workers = 0;
		for (WorkerRecord worker : this.state.workers) {
			if (worker.listed && worker.reconciled && worker.probation == WorkerRecord.ProbationState.NONE
					&& ++workers >= this.state.settings.distinctWorkersBeforeFailure()) {
				return workers;
			}
		}
		return Math.max(1, workers);
	}

}
