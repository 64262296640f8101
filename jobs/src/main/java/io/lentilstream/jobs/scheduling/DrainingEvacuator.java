package io.lentilstream.jobs.scheduling;

import java.util.List;

import io.lentilstream.jobs.StepSpec;

/**
 * Moves runs away from draining VMs if they lose no progress and another VM has capacity
 * for them. Load pattern: a rolling replacement of VMs with long-running tasks, which
 * would otherwise be unavailable for seconds after their VM has left.
 */
final class DrainingEvacuator {

	/**
	 * The largest number of runs to move per call, which limits how many are unavailable
	 * at the same time.
	 */
	private static final int MAX_MOVES = 8;

	private final SchedulerState state;

	private final RunStopper runStopper;

	private final WorkerSelector workerSelector;

	DrainingEvacuator(SchedulerState state, RunStopper runStopper, WorkerSelector workerSelector) {
		this.state = state;
		this.runStopper = runStopper;
		this.workerSelector = workerSelector;
	}

	/**
	 * Stops movable runs on draining VMs. Must be called several times per second.
	 * @param now the current time in milliseconds
	 */
	void evacuate(long now) {
		int moved = 0;
		for (Worker worker : this.state.workers.values()) {
			if (!worker.listing.draining() || worker.missedReports > 0) {
				continue;
			}
			for (Run run : List.copyOf(worker.runs.values())) {
				if (moved < MAX_MOVES && movable(run) && hasRoomElsewhere(run.task, now)) {
					this.runStopper.requestStop(run, "VM is draining", now);
					moved++;
				}
			}
		}
	}

	private static boolean movable(Run run) {
		StepSpec.Traits traits = run.task.spec().traits();
		return run.phase == Run.Phase.RUNNING && !run.stopRequested && !traits.gang()
				&& (traits.longRunning() || traits.checkpointing());
	}

	private boolean hasRoomElsewhere(Task task, long now) {
		// A task that has run before may use the headroom.
		task.hasRunBefore = true;
		return this.workerSelector.choose(task, this.state.workers.values(), "", now) != null;
	}

}
