package io.lentilstream.tasks.scheduling;

import java.time.Duration;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.log.TaskLogEntry;

/**
 * Gives up tasks and jobs that fail in the same way on several distinct workers, and
 * spaces the attempts until then.
 */
final class RetryPolicy {

	private static final Duration FIRST_DELAY = Duration.ofMillis(500);

	private static final Duration LONGEST_DELAY = Duration.ofSeconds(60);

	private final ShardState state;

	private final PendingQueue queue;

	private final Placements placements;

	private final WorkerProbation probation;

	private final JobLifecycle jobLifecycle;

	RetryPolicy(ShardState state, PendingQueue queue, Placements placements, WorkerProbation probation,
			JobLifecycle jobLifecycle) {
		this.state = state;
		this.queue = queue;
		this.placements = placements;
		this.probation = probation;
		this.jobLifecycle = jobLifecycle;
	}

	/**
	 * Takes the failure of an attempt.
	 * @param task the task, which does not run any more
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
		// Counted after probation, which drops failures on workers that fail everything.
		int groupWorkers = group.failureHistory.distinctWorkers(reason);
		int enough = requiredDistinctWorkers();
		if (!group.anySucceeded && group.consecutiveFailures >= this.state.settings.distinctWorkersBeforeFailure()
				&& groupWorkers >= enough) {
			this.placements.release(task, now);
			failJob(group.job, TaskMessages.failsEverywhere(reason, groupWorkers), step, now);
		}
		else if (group.anySucceeded && taskWorkers >= enough) {
			failTask(task, TaskMessages.failsEverywhere(reason, taskWorkers), step, now);
		}
		else {
			int doublings = Math.min(group.consecutiveFailures - 1, 7);
			Duration delay = FIRST_DELAY.multipliedBy(1L << doublings);
			delay = (delay.compareTo(LONGEST_DELAY) < 0) ? delay : LONGEST_DELAY;
			this.queue.delay(group, now.plus(delay).nanos());
			this.placements.release(task, now);
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

	// A shard with fewer workers than the setting would otherwise never give up.
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
