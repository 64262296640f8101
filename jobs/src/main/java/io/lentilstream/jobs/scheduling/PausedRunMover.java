package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.jobs.StepSpec;

/**
 * Moves best-effort runs that have been paused for some time to VMs on which they can
 * work, from their checkpoint. Load pattern: the load of serving tasks rises on some VMs
 * for seconds while others have unused processor time, so that started work stands still
 * beside unused capacity.
 */
final class PausedRunMover {

	/** The largest number of runs to move per review. */
	private static final int MAX_MOVES = 8;

	/** The speed up to which a run counts as paused, in percent. */
	private static final int MAX_PAUSED_PERCENT = 20;

	/**
	 * The time for which a run has to be paused, in milliseconds. A move costs about half
	 * of it, for the stop and the restart from the checkpoint.
	 */
	private static final long MIN_PAUSED_MILLIS = 1500;

	/** The shortest time between two moves of a task, in milliseconds. */
	private static final long MOVE_INTERVAL_MILLIS = 5000;

	private final SchedulerState state;

	private final RunStopper runStopper;

	private final WorkerSelector workerSelector;

	private final boolean enabled;

	PausedRunMover(SchedulerState state, RunStopper runStopper, WorkerSelector workerSelector) {
		this.state = state;
		this.runStopper = runStopper;
		this.workerSelector = workerSelector;
		this.enabled = state.settings.enabled(SchedulerFeature.PAUSED_RUN_MOVES);
	}

	/**
	 * Stops paused runs for which another VM has room. Must be called several times per
	 * second.
	 * @param now the current time in milliseconds
	 */
	void review(long now) {
		if (!this.enabled) {
			return;
		}
		List<Run> reserved = new ArrayList<>();
		for (Worker worker : this.state.workers.values()) {
			for (Run run : List.copyOf(worker.runs.values())) {
				if (movable(run, now) && reserved.size() < MAX_MOVES) {
					moveIfRoomElsewhere(run, reserved, now);
				}
			}
		}
		reserved.forEach((reservation) -> reservation.worker.remove(reservation));
	}

	private static boolean movable(Run run, long now) {
		StepSpec.Traits traits = run.task.spec().traits();
		if (!traits.bestEffort() || !traits.checkpointing() || traits.gang() || traits.longRunning()) {
			return false;
		}
		if (run.phase != Run.Phase.RUNNING || run.stopRequested || run.speedPercent > MAX_PAUSED_PERCENT) {
			run.pausedSince = -1;
			return false;
		}
		if (run.pausedSince < 0) {
			run.pausedSince = now;
		}
		return now - run.pausedSince >= MIN_PAUSED_MILLIS && now >= run.task.nextMoveAt && run.task.suspicion.none();
	}

	// Reserves the room during a review, so that no two runs are moved for the same.
	private void moveIfRoomElsewhere(Run run, List<Run> reserved, long now) {
		Worker target = this.workerSelector.choose(run.task, this.state.workers.values(), "", now);
		if (target == null || target == run.worker) {
			return;
		}
		Run reservation = new Run(run.task, 0, target, now);
		target.add(reservation);
		reserved.add(reservation);
		run.task.nextMoveAt = now + MOVE_INTERVAL_MILLIS;
		this.state.log.append("paused-run-moved", run.task.name, "from", run.worker, "room-on", target, "paused-ms",
				now - run.pausedSince, "percent", run.percent);
		this.runStopper.requestStop(run, "paused, and another VM has room", now);
	}

}
