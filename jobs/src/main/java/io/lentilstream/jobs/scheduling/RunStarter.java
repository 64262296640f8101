package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.WorkerCommands;

/**
 * Sends start commands and handles their results. A run whose start was not answered
 * stays assigned to its VM until a report includes it or a confirmed stop rules it out.
 */
final class RunStarter {

	/** How long a VM that lacks resources is avoided, in milliseconds. */
	private static final long NO_ROOM_MILLIS = 300;

	/** How long an unhealthy VM is avoided, in milliseconds. */
	private static final long UNHEALTHY_MILLIS = 1000;

	private final SchedulerState state;

	private final RunEndHandler runEndHandler;

	private final WorkerCircuitBreaker circuitBreaker;

	RunStarter(SchedulerState state, RunEndHandler runEndHandler, WorkerCircuitBreaker circuitBreaker) {
		this.state = state;
		this.runEndHandler = runEndHandler;
		this.circuitBreaker = circuitBreaker;
	}

	int nextRunNumber(Task task) {
		return Math.max(task.lastRun, this.state.leadershipLease.runNumberFloor()) + 1;
	}

	void start(Task task, Worker worker, int number, long now) {
		this.state.waiting.remove(task);
		Run run = new Run(task, number, worker, now);
		run.measured = task.checkpoint.isEmpty();
		task.lastRun = number;
		task.suspicion.forgetPredecessorsPlan();
		task.addRun(run);
		TaskTimerEvents.starting(run, now);
		worker.add(run);
		this.circuitBreaker.recordStart(run);
		if (task.spec().traits().longRunning()) {
			// The stored run number tells a successor that the task has to be running.
			this.state.markChanged(task.job);
		}
		this.state.log.append("start-ordered", task.name, "worker", worker, "run", number, "waited-ms",
				now - Math.max(task.job.knownSince, 0), "free-mcores", worker.free().milliCores(), "image",
				task.spec().image(), "mcores", task.spec().size().milliCores());
		long deadline = this.state.extendLease(worker, now);
		WorkerCommands.StartCommand command = new WorkerCommands.StartCommand(task.name, number,
				task.job.submission.payload(), task.checkpoint, deadline);
		worker.startsInFlight++;
		this.state.startsInFlight++;
		this.state.commands.start(worker.listing, command, (result) -> {
			worker.startsInFlight--;
			this.state.startsInFlight--;
			handleResult(run, result);
		});
	}

	private void handleResult(Run run, CommandResult result) {
		long now = this.state.now();
		if (!run.worker.runs.containsValue(run)) {
			return;
		}
		if (result instanceof CommandResult.Done) {
			if (run.phase == Run.Phase.STARTING) {
				markRunning(run, now);
			}
		}
		else if (result instanceof CommandResult.Unknown) {
			if (run.phase == Run.Phase.STARTING) {
				run.enterPhase(Run.Phase.UNSURE, now);
				this.state.log.append("start-unanswered", run.task.name, "worker", run.worker, "run", run.number);
				run.worker.nextReportRequestAt = now;
			}
		}
		else if (result instanceof CommandResult.Refused refused && run.phase != Run.Phase.RUNNING) {
			handleRefusal(run, refused.reason(), now);
		}
	}

	void markRunning(Run run, long now) {
		run.enterPhase(Run.Phase.RUNNING, now);
		run.progressedAt = now;
		TaskTimerEvents.confirmed(run, now);
		Job job = run.task.job;
		if (job.state == JobState.QUEUED) {
			job.state = JobState.RUNNING;
			job.storedState = JobState.RUNNING;
		}
	}

	private void handleRefusal(Run run, CommandResult.Refusal reason, long now) {
		this.state.log.append("start-refused", run.task.name, "worker", run.worker, "run", run.number, "reason",
				reason);
		switch (reason) {
			case FENCED -> this.state.handleFenced(run.worker, run.startSentAt);
			case NO_ROOM -> this.circuitBreaker.avoid(run.worker, NO_ROOM_MILLIS, "insufficient resources", now);
			case UNHEALTHY, INVALID, NO_ADVICE, OTHER_INCARNATION ->
				this.circuitBreaker.avoid(run.worker, UNHEALTHY_MILLIS, "refused a start: " + reason, now);
			case OUTDATED_RUN, TOO_LATE, NOT_SENT -> {
				run.worker.nextReportRequestAt = now;
			}
		}
		this.runEndHandler.handleLost(run, "start refused: " + reason, now);
	}

}
