package io.lentilstream.jobs.scheduling;

import java.util.List;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.RunOutcome;

/**
 * Handles ended and lost runs: the task is done, waits for its next start, or has used up
 * the attempts that its queue allows, so that the job fails.
 */
final class RunEndHandler {

	/** The delay before a task whose run was lost restarts, in milliseconds. */
	private static final long RESTART_PAUSE_MILLIS = 20;

	private final SchedulerState state;

	private final RunStopper runStopper;

	private final JobProgression progression;

	private final WorkerCircuitBreaker circuitBreaker;

	private final ReliablePlacementRule reliability;

	RunEndHandler(SchedulerState state, RunStopper runStopper, JobProgression progression,
			WorkerCircuitBreaker circuitBreaker, ReliablePlacementRule reliability) {
		this.reliability = reliability;
		this.state = state;
		this.runStopper = runStopper;
		this.progression = progression;
		this.circuitBreaker = circuitBreaker;
	}

	/**
	 * Handles the end of a run that the VM reported.
	 * @param task the task
	 * @param number the number of the run
	 * @param run the run; {@code null} if it is unknown to this scheduler
	 * @param worker the VM
	 * @param outcome the outcome of the run
	 * @param checkpoint the latest checkpoint; empty if there is none
	 * @param now the current time in milliseconds
	 */
	void handleEnd(Task task, int number, Run run, Worker worker, RunOutcome outcome, String checkpoint, long now) {
		this.state.log.append("task-ended", task.name, "worker", worker, "run", number, "how", outcome);
		if (run != null) {
			detach(run);
		}
		if (!task.job.active() || task.done) {
			return;
		}
		if (!checkpoint.isEmpty()) {
			task.checkpoint = checkpoint;
		}
		this.circuitBreaker.recordOutcome(worker, run, outcome, now);
		this.reliability.recordEnd(task, worker, outcome, now);
		if (outcome == RunOutcome.DONE && !task.spec().traits().longRunning()) {
			this.state.runTimes.recordDone(task, run, now);
			completeTask(task, now);
			return;
		}
		if (outcome == RunOutcome.FAILED && !task.spec().traits().longRunning()) {
			recordFailure(task, number, worker, now);
		}
		else if (outcome == RunOutcome.FAILED) {
			task.failedOn = worker.id();
		}
		addWaitingIfStartable(task);
	}

	/**
	 * Handles the loss of a run that is certainly neither in progress nor going to start.
	 * @param run the run
	 * @param reason the reason to be logged
	 * @param now the current time in milliseconds
	 */
	void handleLost(Run run, String reason, long now) {
		this.state.log.append("run-lost", run.task.name, "worker", run.worker, "run", run.number, "phase", run.phase,
				"reason", reason);
		detach(run);
		if (!run.checkpoint.isEmpty()) {
			run.task.checkpoint = run.checkpoint;
		}
		run.task.notBefore = now + RESTART_PAUSE_MILLIS;
		addWaitingIfStartable(run.task);
	}

	/**
	 * Adds a task to the waiting tasks if it can be started.
	 * @param task the task
	 */
	void addWaitingIfStartable(Task task) {
		if (task.job.active() && task.step.released && task.startable()) {
			this.state.addWaiting(task);
		}
	}

	private static void detach(Run run) {
		run.worker.remove(run);
		run.task.removeRun(run);
		run.task.lastPercent = run.percent;
	}

	private void completeTask(Task task, long now) {
		if (task.spec().traits().gang()) {
			task.step.tasks().forEach((member) -> markDone(member, now));
		}
		else {
			markDone(task, now);
		}
		this.state.markChanged(task.job);
		if (task.step.complete()) {
			this.state.runTimes.recordStepCompleted(task.step, task.job);
			this.progression.handleStepCompleted(task.job, task.step.occurrence, now);
		}
	}

	private void markDone(Task task, long now) {
		if (task.done) {
			return;
		}
		task.timer.end(now);
		task.step.markDone(task);
		this.state.waiting.remove(task);
		this.state.suspects.remove(task);
		if (!task.spec().traits().gang()) {
			List.copyOf(task.runs)
				.forEach((copy) -> this.runStopper.requestStop(copy, "another copy has finished", now));
		}
	}

	private void recordFailure(Task task, int number, Worker worker, long now) {
		if (!task.failedRuns.add(number)) {
			return;
		}
		task.failedOn = worker.id();
		if (task.spec().traits().gang()) {
			task.step.tasks().forEach((member) -> member.failedRuns.add(number));
		}
		this.state.markChanged(task.job);
		if (task.failedRuns.size() >= task.job.policy.maxAttempts()) {
			this.progression.endJob(task.job, JobState.FAILED,
					"task " + task.name + " failed " + task.failedRuns.size() + " times", now);
		}
	}

}
