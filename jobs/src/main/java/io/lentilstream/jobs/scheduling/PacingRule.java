package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.OrderAnswer;

/**
 * Slows filling tasks down where a serving task beside them nears its target, and lets
 * them speed up again when it has been calm. Load pattern: the load of serving tasks
 * swings within seconds while filling tasks run for longer.
 */
final class PacingRule {

	/** Share of its target from which a serving task counts as pressed. */
	private static final double PRESSED = 0.85;

	/** Share of its target below which filling tasks may speed up. */
	private static final double CALM = 0.5;

	/** Time without pressure before filling tasks speed up, in milliseconds. */
	private static final long CALM_MILLIS = 1500;

	private static final int FULL_PACE = 100;

	private static final int SPEED_UP = 25;

	private static final int SLOWEST = 0;

	private final SchedulerState state;

	PacingRule(SchedulerState state) {
		this.state = state;
	}

	void apply(Worker worker, long now) {
		double pressure = 0;
		for (Run run : worker.runs.values()) {
			if (run.phase == Run.Phase.RUNNING && run.task.spec().serves()) {
				pressure = Math.max(pressure, run.figure / run.task.spec().targetMillis());
			}
		}
		worker.pressure = pressure;
		boolean pressed = pressure >= PRESSED;
		if (pressed) {
			worker.pressedAt = now;
		}
		for (Run run : worker.runs.values()) {
			if (run.task.spec().traits().fills() && run.phase == Run.Phase.RUNNING && !run.stopWanted
					&& !run.paceInFlight) {
				pace(run, worker, now);
			}
		}
	}

	private void pace(Run run, Worker worker, long now) {
		int wanted = run.pace;
		if (worker.pressure >= 1) {
			wanted = SLOWEST;
		}
		else if (worker.pressure >= PRESSED) {
			wanted = Math.min(run.pace, Math.max(SLOWEST, run.pace / 2));
		}
		else if (worker.pressure < CALM && now - worker.pressedAt > CALM_MILLIS) {
			wanted = Math.min(FULL_PACE, run.pace + SPEED_UP);
		}
		if (wanted == run.pace) {
			return;
		}
		run.paceInFlight = true;
		int target = wanted;
		this.state.log.note("run-paced", run.task.name, "worker", worker, "percent", target, "was", run.pace,
				"pressure", worker.pressure);
		this.state.orders.pace(worker.listing, run.task.name, run.number, target,
				(answer) -> answered(run, target, answer));
	}

	private void answered(Run run, int percent, OrderAnswer answer) {
		run.paceInFlight = false;
		if (answer instanceof OrderAnswer.Done) {
			run.pace = percent;
			run.progressedAt = this.state.now();
		}
	}

}
