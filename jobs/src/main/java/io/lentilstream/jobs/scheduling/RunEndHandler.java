package io.lentilstream.jobs.scheduling;

import java.util.List;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.RunOutcome;

/**
 * Draws the conclusions from the end of a run: the task is done, starts again, or has
 * failed as often as its queue allows.
 */
final class RunEndHandler {

	/** Pause before a task whose run was lost starts again, in milliseconds. */
	private static final long RESTART_PAUSE_MILLIS = 20;

	private final SchedulerState state;

	private final RunStopper stops;

	private final JobProgression opening;

	private final WorkerCircuitBreaker trust;

	RunEndHandler(SchedulerState state, RunStopper stops, JobProgression opening, WorkerCircuitBreaker trust) {
		this.state = state;
		this.stops = stops;
		this.opening = opening;
		this.trust = trust;
	}

	/**
	 * Takes in the end of a run that the VM reported.
	 * @param task the task
	 * @param number the number of the run
	 * @param run the run; {@code null} if this scheduler did not know it
	 * @param worker the VM
	 * @param how how it ended
	 * @param checkpoint the latest checkpoint; empty if there is none
	 * @param now the current time in milliseconds
	 */
	void ended(Task task, int number, Run run, Worker worker, RunOutcome how, String checkpoint, long now) {
		this.state.log.append("task-ended", task.name, "worker", worker, "run", number, "how", how);
		if (run != null) {
			drop(run);
		}
		if (!task.job.active() || task.done) {
			return;
		}
		if (!checkpoint.isEmpty()) {
			task.checkpoint = checkpoint;
		}
		this.trust.ended(worker, how, now);
		if (how == RunOutcome.DONE && !task.spec().traits().longRunning()) {
			done(task, now);
			return;
		}
		if (how == RunOutcome.FAILED && !task.spec().traits().longRunning()) {
			failed(task, number, worker, now);
		}
		else if (how == RunOutcome.FAILED) {
			task.failedOn = worker.id();
		}
		again(task);
	}

	/**
	 * Gives up a run that certainly neither works nor will ever start.
	 * @param run the run
	 * @param reason why, for the log
	 * @param now the current time in milliseconds
	 */
	void lost(Run run, String reason, long now) {
		this.state.log.append("run-lost", run.task.name, "worker", run.worker, "run", run.number, "phase", run.phase,
				"reason", reason);
		drop(run);
		if (!run.checkpoint.isEmpty()) {
			run.task.checkpoint = run.checkpoint;
		}
		run.task.notBefore = now + RESTART_PAUSE_MILLIS;
		again(run.task);
	}

	/**
	 * Lets a task wait for its next start if nothing of it is left.
	 * @param task the task
	 */
	void again(Task task) {
		if (task.job.active() && task.step.open && task.waiting()) {
			this.state.await(task);
		}
	}

	private static void drop(Run run) {
		run.worker.remove(run);
		run.task.runs.remove(run);
	}

	private void done(Task task, long now) {
		if (task.spec().traits().gang()) {
			task.step.tasks.forEach((member) -> finish(member, now));
		}
		else {
			finish(task, now);
		}
		this.state.changed(task.job);
		if (task.step.complete()) {
			this.opening.stepDone(task.job, task.step.occurrence, now);
		}
	}

	private void finish(Task task, long now) {
		if (task.done) {
			return;
		}
		task.done = true;
		task.step.done++;
		this.state.waiting.remove(task);
		if (!task.spec().traits().gang()) {
			List.copyOf(task.runs).forEach((copy) -> this.stops.want(copy, "another copy is done", now));
		}
	}

	private void failed(Task task, int number, Worker worker, long now) {
		if (!task.failedRuns.add(number)) {
			return;
		}
		task.failedOn = worker.id();
		if (task.spec().traits().gang()) {
			task.step.tasks.forEach((member) -> member.failedRuns.add(number));
		}
		this.state.changed(task.job);
		if (task.failedRuns.size() >= task.job.policy.maxAttempts()) {
			this.opening.end(task.job, JobState.FAILED,
					"task " + task.name + " failed " + task.failedRuns.size() + " times", now);
		}
	}

}
