package io.lentilstream.tasks.scheduling;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.TaskState;

/**
 * Takes what a worker says about a task that is placed there.
 */
final class ReportRule {

	private final Lifecycle lifecycle;

	private final Placements placements;

	private final CheckpointRecorder checkpoints;

	private final ProbationRule probation;

	private final RepeatedFailureRule failures;

	private final JobEndRule jobEnds;

	private final UsageRule usage;

	ReportRule(Lifecycle lifecycle, Placements placements, CheckpointRecorder checkpoints, ProbationRule probation,
			RepeatedFailureRule failures, JobEndRule jobEnds, UsageRule usage) {
		this.lifecycle = lifecycle;
		this.placements = placements;
		this.checkpoints = checkpoints;
		this.probation = probation;
		this.failures = failures;
		this.jobEnds = jobEnds;
		this.usage = usage;
	}

	/**
	 * Takes a report of the present attempt of a task.
	 * @param task the task, which is placed at the reporting worker
	 * @param report the report
	 * @param command the command whose outcome has the report
	 * @param step the step
	 * @param now the current time
	 */
	void take(TaskRecord task, TaskReport report, long command, StepBuilder step, MonotonicTime now) {
		switch (report.state()) {
			case RUNNING -> running(task, report, command, step, now);
			case DONE -> finished(task, step, now);
			case FAILED -> {
				this.checkpoints.record(task, report, command, step, now);
				this.failures.failed(task, report.failure().orElse("no reason given"), step, now);
			}
			case STOPPED -> stopped(task, report, command, step, now);
		}
	}

	/**
	 * Ends a task that a worker finished. It may have lost its place before, if the
	 * worker did not answer in time.
	 * @param task the task
	 * @param step the step
	 * @param now the current time
	 */
	void finished(TaskRecord task, StepBuilder step, MonotonicTime now) {
		if (task.worker != null) {
			this.probation.succeeded(task.worker, now);
		}
		if (task.state.isEnded()) {
			if (task.worker != null) {
				this.placements.release(task, now);
			}
			return;
		}
		this.failures.succeeded(task);
		step.finished(task);
		this.placements.releaseEnded(task, TaskEvent.FINISHED);
		this.jobEnds.checkEnded(task.group.job, now);
	}

	/**
	 * Releases a task that does not run at its worker any more.
	 * @param task the task
	 * @param report the last report
	 * @param command the command whose outcome has the report
	 * @param step the step
	 * @param now the current time
	 */
	void stopped(TaskRecord task, TaskReport report, long command, StepBuilder step, MonotonicTime now) {
		this.checkpoints.record(task, report, command, step, now);
		this.placements.release(task, now);
	}

	private void running(TaskRecord task, TaskReport report, long command, StepBuilder step, MonotonicTime now) {
		if (task.state == TaskState.STARTING) {
			boolean resumes = task.checkpoint != null || task.evictions > 0;
			this.lifecycle.apply(task, resumes ? TaskEvent.RESUME_CONFIRMED : TaskEvent.START_CONFIRMED);
		}
		this.checkpoints.record(task, report, command, step, now);
		this.usage.observe(task, report, now);
	}

}
