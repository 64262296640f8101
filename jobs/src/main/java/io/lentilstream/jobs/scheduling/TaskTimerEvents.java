package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.accounting.TimePhase;

/**
 * The events of runs that the timers of their tasks are told. Copies of a run are not
 * charged, since they run beside it.
 */
final class TaskTimerEvents {

	private static final double FULL_USE = 1;

	private static final int WORKING_PERCENT = 100;

	private TaskTimerEvents() {
	}

	static void released(Task task, long now) {
		if (!task.done) {
			task.timer.begin(task.possiblyRunning ? TimePhase.TAKEOVER : TimePhase.ROOM, now);
		}
	}

	static void takenOver(Task task, long now) {
		if (task.possiblyRunning && task.step.released) {
			task.timer.enter(TimePhase.TAKEOVER, now);
		}
	}

	static void starting(Run run, long now) {
		if (first(run)) {
			run.task.timer.enter(TimePhase.STARTING, now);
		}
	}

	static void confirmed(Run run, long now) {
		if (first(run)) {
			run.task.timer.enter(runningPhase(run), now);
		}
	}

	/**
	 * Charges the time of a run since its last report.
	 * @param run the run
	 * @param now the current time in milliseconds
	 */
	static void charge(Run run, long now) {
		if (first(run) && run.phase == Run.Phase.RUNNING) {
			run.task.timer.chargeRun(run.speedPercent, usedShare(run), now);
			run.task.timer.enter(runningPhase(run), now);
		}
	}

	private static double usedShare(Run run) {
		if (run.task.spec().serves()) {
			return (TailForecast.ratio(run) >= 1) ? 0 : FULL_USE;
		}
		if (run.task.spec().traits().bestEffort() && run.measurement > 0) {
			return run.measurement / Math.max(1, run.task.spec().size().milliCores());
		}
		return FULL_USE;
	}

	private static TimePhase runningPhase(Run run) {
		if (run.task.spec().traits().longRunning() && run.percent < WORKING_PERCENT) {
			return TimePhase.STARTING;
		}
		String rack = run.task.spec().placement().affinityRack();
		return (rack.isEmpty() || rack.equals(run.worker.listing.rack())) ? TimePhase.FULL : TimePhase.AWAY;
	}

	private static boolean first(Run run) {
		return !run.task.runs.isEmpty() && run.task.runs.get(0) == run;
	}

}
