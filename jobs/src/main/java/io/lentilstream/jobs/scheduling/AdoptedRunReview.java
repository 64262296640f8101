package io.lentilstream.jobs.scheduling;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Keeps the adopted runs of steps that are not released yet until the takeover is
 * complete. The predecessor started them after it had received the ends of the earlier
 * steps, which the VMs that have them report again. Load pattern: the leader changes
 * while the store turns it away, so that hundreds of ends are not stored.
 */
final class AdoptedRunReview {

	private final TakeoverTracker takeover;

	private final RunStopper runStopper;

	private final Set<Run> kept = new LinkedHashSet<>();

	AdoptedRunReview(TakeoverTracker takeover, RunStopper runStopper) {
		this.takeover = takeover;
		this.runStopper = runStopper;
	}

	/**
	 * Tells whether the step of an adopted run is released, or may still turn out to be.
	 * @param run the run
	 * @return {@code false} if an earlier step is certainly not done
	 */
	boolean keeps(Run run) {
		if (run.task.step.released) {
			return true;
		}
		return this.takeover.pending() && this.kept.add(run);
	}

	/**
	 * Stops the kept runs of steps that have not been released by the end of the
	 * takeover.
	 * @param now the current time in milliseconds
	 */
	void takeoverCompleted(long now) {
		for (Run run : this.kept) {
			if (!run.task.step.released && run.worker.runs.get(run.key()) == run) {
				this.runStopper.requestStop(run, "an earlier step is not done", now);
			}
		}
		this.kept.clear();
	}

}
