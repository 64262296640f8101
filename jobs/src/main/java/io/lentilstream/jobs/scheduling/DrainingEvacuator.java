package io.lentilstream.jobs.scheduling;

import java.util.List;

import io.lentilstream.jobs.StepSpec;

/**
 * Moves runs away from VMs that drain, if they lose nothing by it and find room
 * elsewhere. Load pattern: VMs that are replaced one after another under long-running
 * tasks, which would be missed for seconds after the VM has left.
 */
final class DrainingEvacuator {

	/** Runs that are moved at a review, which bounds how many are away at once. */
	private static final int MOST_AT_ONCE = 8;

	private final SchedulerState state;

	private final RunStopper stops;

	private final WorkerSelector placement;

	DrainingEvacuator(SchedulerState state, RunStopper stops, WorkerSelector placement) {
		this.state = state;
		this.stops = stops;
		this.placement = placement;
	}

	/**
	 * Stops runs on draining VMs. Must be called a few times a second.
	 * @param now the current time in milliseconds
	 */
	void review(long now) {
		int moved = 0;
		for (Worker worker : this.state.workers.values()) {
			if (!worker.listing.draining() || worker.silent > 0) {
				continue;
			}
			for (Run run : List.copyOf(worker.runs.values())) {
				if (moved < MOST_AT_ONCE && movable(run) && hasRoomElsewhere(run.task, now)) {
					this.stops.want(run, "VM drains", now);
					moved++;
				}
			}
		}
	}

	private static boolean movable(Run run) {
		StepSpec.Traits traits = run.task.spec().traits();
		return run.phase == Run.Phase.RUNNING && !run.stopWanted && !traits.gang()
				&& (traits.longRunning() || traits.checkpointing());
	}

	private boolean hasRoomElsewhere(Task task, long now) {
		// A task that has run may use the headroom.
		task.restarts = true;
		return this.placement.choose(task, this.state.workers.values(), "", now) != null;
	}

}
