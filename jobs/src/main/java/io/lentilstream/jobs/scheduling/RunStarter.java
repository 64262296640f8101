package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.WorkerCommands;

/**
 * Orders starts and takes in their answers. A start without an answer stays bound to its
 * VM until a report shows the run or a confirmed stop rules it out.
 */
final class RunStarter {

	/** For how long a VM without room is avoided, in milliseconds. */
	private static final long NO_ROOM_MILLIS = 300;

	/** For how long an unhealthy VM is avoided, in milliseconds. */
	private static final long UNHEALTHY_MILLIS = 1000;

	private final SchedulerState state;

	private final RunEndHandler ends;

	private final WorkerCircuitBreaker trust;

	RunStarter(SchedulerState state, RunEndHandler ends, WorkerCircuitBreaker trust) {
		this.state = state;
		this.ends = ends;
		this.trust = trust;
	}

	int nextRun(Task task) {
		return Math.max(task.lastRun, this.state.mandate.runNumberFloor()) + 1;
	}

	void start(Task task, Worker worker, int number, long now) {
		this.state.waiting.remove(task);
		Run run = new Run(task, number, worker, now);
		task.lastRun = number;
		task.runs.add(run);
		worker.add(run);
		worker.ordersSinceAvoided++;
		if (task.spec().traits().longRunning()) {
			// A successor has to know which of these tasks have to be back.
			this.state.changed(task.job);
		}
		this.state.log.append("start-ordered", task.name, "worker", worker, "run", number, "waited-ms",
				now - Math.max(task.job.learntAt, 0), "free-mcores", worker.free().milliCores(), "image",
				task.spec().image(), "mcores", task.spec().size().milliCores());
		long deadline = this.state.extendLease(worker, now);
		WorkerCommands.StartCommand order = new WorkerCommands.StartCommand(task.name, number,
				task.job.submission.payload(), task.checkpoint, deadline);
		this.state.orders.start(worker.listing, order, (answer) -> answered(run, answer));
	}

	private void answered(Run run, CommandResult answer) {
		long now = this.state.now();
		if (!run.worker.runs.containsValue(run)) {
			return;
		}
		if (answer instanceof CommandResult.Done) {
			if (run.phase == Run.Phase.STARTING) {
				confirmed(run, now);
			}
		}
		else if (answer instanceof CommandResult.Unknown) {
			if (run.phase == Run.Phase.STARTING) {
				run.enter(Run.Phase.UNSURE, now);
				this.state.log.append("start-unanswered", run.task.name, "worker", run.worker, "run", run.number);
				run.worker.nextHoldAt = now;
			}
		}
		else if (answer instanceof CommandResult.Refused refused && run.phase != Run.Phase.RUNNING) {
			refused(run, refused.reason(), now);
		}
	}

	void confirmed(Run run, long now) {
		run.enter(Run.Phase.RUNNING, now);
		run.progressedAt = now;
		Job job = run.task.job;
		if (job.state == JobState.QUEUED) {
			job.state = JobState.RUNNING;
			job.storedState = JobState.RUNNING;
		}
	}

	private void refused(Run run, CommandResult.Refusal reason, long now) {
		this.state.log.append("start-refused", run.task.name, "worker", run.worker, "run", run.number, "reason",
				reason);
		switch (reason) {
			case FENCED -> {
				this.state.fenced = true;
			}
			case NO_ROOM -> this.trust.avoid(run.worker, NO_ROOM_MILLIS, "has no room", now);
			case UNHEALTHY, INVALID, NO_ADVICE, OTHER_INCARNATION ->
				this.trust.avoid(run.worker, UNHEALTHY_MILLIS, "refuses starts: " + reason, now);
			case OUTDATED_RUN, TOO_LATE, NOT_SENT -> {
				run.worker.nextHoldAt = now;
			}
		}
		this.ends.lost(run, "start refused: " + reason, now);
	}

}
