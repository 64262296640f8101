package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.CommandResult;

/**
 * Stops runs and repeats the order until the VM has confirmed it. A confirmed stop also
 * keeps a start that is still on its way from taking effect.
 */
final class RunStopper {

	/** Pause before a stop that was not confirmed is sent again, in milliseconds. */
	private static final long RETRY_MILLIS = 150;

	private final SchedulerState state;

	RunStopper(SchedulerState state) {
		this.state = state;
	}

	void want(Run run, String reason, long now) {
		if (run.stopWanted) {
			return;
		}
		run.stopWanted = true;
		this.state.log.append("stop-ordered", run.task.name, "worker", run.worker, "run", run.number, "reason", reason);
		sendIfDue(run, now);
	}

	void sendIfDue(Run run, long now) {
		if (!run.stopWanted || run.stopInFlight || run.stopConfirmedAt >= 0 || now < run.nextStopAt) {
			return;
		}
		run.stopInFlight = true;
		this.state.orders.stop(run.worker.listing, run.task.name, run.number, (answer) -> answered(run, answer));
	}

	private void answered(Run run, CommandResult answer) {
		long now = this.state.now();
		run.stopInFlight = false;
		run.nextStopAt = now + RETRY_MILLIS;
		if (answer instanceof CommandResult.Done) {
			run.stopConfirmedAt = now;
			// The end is listed at once, so the next report is worth asking for.
			run.worker.nextHoldAt = now;
		}
		else if (answer instanceof CommandResult.Refused refused && refused.reason() == CommandResult.Refusal.FENCED) {
			this.state.fenced = true;
		}
	}

}
