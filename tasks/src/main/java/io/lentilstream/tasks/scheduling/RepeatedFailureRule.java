package io.lentilstream.tasks.scheduling;

import java.time.Duration;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.log.TaskLogEntry;

/**
 * Gives up tasks and jobs that fail in the same way on several distinct workers, and
 * spaces the attempts until then.
 */
final class RepeatedFailureRule {

	private static final Duration FIRST_DELAY = Duration.ofMillis(500);

	private static final Duration LONGEST_DELAY = Duration.ofSeconds(60);

	private final ShardState state;

	private final PendingQueue queue;

	private final Placements placements;

	private final ProbationRule probation;

	private final JobEndRule jobEnds;

	RepeatedFailureRule(ShardState state, PendingQueue queue, Placements placements, ProbationRule probation,
			JobEndRule jobEnds) {
		this.state = state;
		this.queue = queue;
		this.placements = placements;
		this.probation = probation;
		this.jobEnds = jobEnds;
	}

	/**
	 * Takes the failure of an attempt.
	 * @param task the task, which does not run any more
	 * @param reason the reason that the worker gave
	 * @param step the step
	 * @param now the current time
	 */
	void failed(TaskRecord task, String reason, StepBuilder step, MonotonicTime now) {
		WorkerRecord worker = task.worker;
		if (task.state.isEnded()) {
			this.placements.release(task, now);
			return;
		}
		TaskGroup group = task.group;
		group.failuresInRow++;
		group.failures.add(reason, worker);
		if (task.failures == null) {
			task.failures = new FailureEvidence();
		}
		int taskWorkers = task.failures.add(reason, worker);
		this.probation.failed(worker, task, now);
		// Counted after probation, which drops failures on workers that fail everything.
		int groupWorkers = group.failures.count(reason);
		int enough = enoughWorkers();
		if (!group.succeeded && group.failuresInRow >= this.state.settings.distinctWorkersBeforeFailure()
				&& groupWorkers >= enough) {
			this.placements.release(task, now);
			giveUpJob(group.job, TaskMessages.failsEverywhere(reason, groupWorkers), step, now);
		}
		else if (group.succeeded && taskWorkers >= enough) {
			giveUpTask(task, TaskMessages.failsEverywhere(reason, taskWorkers), step, now);
		}
		else {
			int doublings = Math.min(group.failuresInRow - 1, 7);
			Duration delay = FIRST_DELAY.multipliedBy(1L << doublings);
			delay = (delay.compareTo(LONGEST_DELAY) < 0) ? delay : LONGEST_DELAY;
			this.queue.delay(group, now.plus(delay).nanos());
			this.placements.release(task, now);
		}
	}

	void succeeded(TaskRecord task) {
		task.group.succeeded = true;
		task.group.failuresInRow = 0;
	}

	void giveUpJob(JobRecord job, String problem, StepBuilder step, MonotonicTime now) {
		job.problem = problem;
		step.entry(new TaskLogEntry.JobFailed(job.sequence, problem));
		this.jobEnds.endAll(job, TaskState.FAILED, step, now);
	}

	private void giveUpTask(TaskRecord task, String problem, StepBuilder step, MonotonicTime now) {
		JobRecord job = task.group.job;
		job.problem = problem;
		step.entry(new TaskLogEntry.TaskFailed(StepBuilder.key(task), problem));
		this.placements.releaseEnded(task, TaskEvent.GIVEN_UP);
		this.jobEnds.checkEnded(job, now);
	}

	// A shard with fewer workers than the setting would otherwise never give up.
	private int enoughWorkers() {
		int workers = 0;
		for (WorkerRecord worker : this.state.workers) {
			if (worker.listed && worker.confirmed && worker.probation == WorkerRecord.ProbationState.NONE
					&& ++workers >= this.state.settings.distinctWorkersBeforeFailure()) {
				return workers;
			}
		}
		return Math.max(1, workers);
	}

}
