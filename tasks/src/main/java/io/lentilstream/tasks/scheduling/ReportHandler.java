package io.lentilstream.tasks.scheduling;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.TaskState;

/**
 * The handler for a worker's reports about tasks that are placed there.
 */
final class ReportHandler {

	private final TaskLifecycle lifecycle;

	private final Placements placements;

	private final CheckpointManager checkpoints;

	private final WorkerProbation probation;

	private final RetryPolicy retryPolicy;

	private final JobLifecycle jobLifecycle;

	private final UsageTracker usageTracker;

	ReportHandler(TaskLifecycle lifecycle, Placements placements, CheckpointManager checkpoints,
			WorkerProbation probation, RetryPolicy retryPolicy, JobLifecycle jobLifecycle, UsageTracker usageTracker) {
		this.lifecycle = lifecycle;
		this.placements = placements;
		this.checkpoints = checkpoints;
		this.probation = probation;
		this.retryPolicy = retryPolicy;
		this.jobLifecycle = jobLifecycle;
		this.usageTracker = usageTracker;
	}

	/**
	 * Applies a report about the current attempt of a task.
	 * @param task the task, which is placed on the reporting worker
	 * @param report the report
	 * @param command the command whose outcome has the report
	 * @param step the step
	 * @param now the current time
	 */
	void apply(TaskRecord task, TaskReport report, long command, StepBuilder step, MonotonicTime now) {
		switch (report.state()) {
			case RUNNING -> handleRunning(task, report, command, step, now);
			case DONE -> handleFinished(task, step, now);
			case FAILED -> {
				this.checkpoints.record(task, report, command, step, now);
				this.retryPolicy.handleFailure(task, report.failure().orElse("no reason given"), step, now);
			}
			case STOPPED -> handleStopped(task, report, command, step, now);
		}
	}

	/**
	 * Ends a task that a worker finished. The task may have been released before, if the
	 * worker did not answer in time.
	 * @param task the task
	 * @param step the step
	 * @param now the current time
	 */
	void handleFinished(TaskRecord task, StepBuilder step, MonotonicTime now) {
		if (task.worker != null) {
			this.probation.recordSuccess(task.worker, now);
		}
		if (task.state.isEnded()) {
			if (task.worker != null) {
				this.placements.release(task, now);
			}
			return;
		}
		this.retryPolicy.recordSuccess(task);
		step.addFinished(task);
		this.placements.releaseAndEnd(task, TaskEvent.FINISHED);
		this.jobLifecycle.recordEndIfEnded(task.group.job, now);
	}

	/**
	 * Releases a task that no longer runs on its worker.
	 * @param task the task
	 * @param report the last report
	 * @param command the command whose outcome has the report
	 * @param step the step
	 * @param now the current time
	 */
	void handleStopped(TaskRecord task, TaskReport report, long command, StepBuilder step, MonotonicTime now) {
		this.checkpoints.record(task, report, command, step, now);
		this.placements.release(task, now);
	}

	private void handleRunning(TaskRecord task, TaskReport report, long command, StepBuilder step, MonotonicTime now) {
		if (task.state == TaskState.STARTING) {
			boolean resumes = task.checkpoint != null || task.evictions > 0;
			this.lifecycle.apply(task, resumes ? TaskEvent.RESUME_CONFIRMED : TaskEvent.START_CONFIRMED);
		}
		this.checkpoints.record(task, report, command, step, now);
		this.usageTracker.observe(task, report, now);
	}

}
