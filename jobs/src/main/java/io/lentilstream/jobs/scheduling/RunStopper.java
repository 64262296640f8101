package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.CommandResult;

/**
 * Stops runs and repeats the command until the VM has confirmed it. A confirmed stop also
 * prevents a start command that is still in transit from taking effect.
 */
final class RunStopper {

	/** The delay before an unconfirmed stop is retried, in milliseconds. */
	private static final long RETRY_MILLIS = 150;

	private final SchedulerState state;

	RunStopper(SchedulerState state) {
		this.state = state;
	}

	void requestStop(Run run, String reason, long now) {
		if (run.stopRequested) {
			return;
		}
		run.stopRequested = true;
		this.state.log.append("stop-ordered", run.task.name, "worker", run.worker, "run", run.number, "reason", reason);
		sendIfDue(run, now);
	}

	void sendIfDue(Run run, long now) {
		if (this.state.holdOnly || !run.stopRequested || run.stopConfirmedAt >= 0 || now < run.nextStopAt
				|| !RepeatedCommandRule.due(run.unansweredStops, run.lastStopSentAt, now)) {
			return;
		}
		run.unansweredStops++;
		run.lastStopSentAt = now;
		Worker.Incarnation incarnation = run.worker.incarnation;
		this.state.commands.stop(run.worker.listing, run.task.name, run.number,
				(result) -> handleResult(run, incarnation, now, result));
	}

	private void handleResult(Run run, Worker.Incarnation incarnation, long sent, CommandResult result) {
		long now = this.state.now();
		run.unansweredStops--;
		run.nextStopAt = now + RETRY_MILLIS;
		if (result instanceof CommandResult.Done && run.worker.incarnation == incarnation) {
			run.stopConfirmedAt = now;
			// The VM lists the end immediately, so the next report will include it.
			run.worker.nextReportRequestAt = now;
		}
		else if (result instanceof CommandResult.Refused refused && refused.reason() == CommandResult.Refusal.FENCED) {
			this.state.handleFenced(run.worker, sent);
		}
	}

}
