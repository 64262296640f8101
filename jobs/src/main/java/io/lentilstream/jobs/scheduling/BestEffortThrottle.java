package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.jobs.CommandResult;

/**
 * Slows down the filling tasks that disturb a serving task near its target, those that
 * disturb it most first, and lets them speed up again when there is room. Load pattern:
 * the load of serving tasks swings within seconds while filling tasks run for longer.
 */
final class BestEffortThrottle {

	/** Part of its target from which a serving task counts as disturbed. */
	private static final double DISTURBED = 0.95;

	/**
	 * Part of its target under which a serving task has to come before the time over its
	 * target ends, since reported tails are rough.
	 */
	private static final double RELIEVED = 0.9;

	/** Part of its target that a serving task is meant to stay under. */
	private static final double GOAL = 0.8;

	/** Time over its target after which disturbing tasks pause, in milliseconds. */
	private static final long PAUSE_MILLIS = 900;

	/**
	 * Time over its target after which those that seem harmless pause too, in
	 * milliseconds.
	 */
	private static final long PAUSE_ALL_MILLIS = 1500;

	private static final int FULL_PACE = 100;

	/** Smallest change of pace that is worth an order. */
	private static final int LEAST_CHANGE = 10;

	/** Largest step up. */
	private static final int SPEED_UP = 50;

	private final SchedulerState state;

	private final TailForecast forecast;

	BestEffortThrottle(SchedulerState state, TailForecast forecast) {
		this.state = state;
		this.forecast = forecast;
	}

	void apply(Worker worker, long now) {
		List<Run> serving = new ArrayList<>();
		List<Run> filling = new ArrayList<>();
		for (Run run : worker.runs.values()) {
			if (run.phase != Run.Phase.RUNNING) {
				continue;
			}
			if (run.task.spec().serves() && run.figure > 0) {
				serving.add(run);
			}
			else if (run.task.spec().traits().bestEffort() && !run.stopWanted) {
				filling.add(run);
			}
		}
		if (serving.isEmpty()) {
			worker.pressedSince = -1;
			filling.forEach((run) -> order(run, FULL_PACE));
			return;
		}
		learn(serving, filling);
		double pressure = serving.stream().mapToDouble(TailForecast::ratio).max().orElse(0);
		if (pressure >= 1 && worker.pressedSince < 0) {
			worker.pressedSince = now;
		}
		else if (pressure < RELIEVED) {
			worker.pressedSince = -1;
		}
		serving.stream().filter((run) -> TailForecast.ratio(run) >= 1).forEach((run) -> run.pressedAt = now);
		long pressed = (worker.pressedSince >= 0) ? now - worker.pressedSince : 0;
		if (pressed >= PAUSE_ALL_MILLIS) {
			filling.forEach((run) -> order(run, 0));
		}
		else if (pressed >= PAUSE_MILLIS) {
			filling.stream().filter((run) -> disturbsAny(run, serving)).forEach((run) -> order(run, 0));
		}
		else if (pressure >= DISTURBED) {
			serving.stream()
				.filter((run) -> TailForecast.ratio(run) >= DISTURBED)
				.forEach((run) -> relieve(run, filling));
		}
		else {
			filling.stream().filter((run) -> run.pace < FULL_PACE).forEach((run) -> speedUp(run, serving));
		}
	}

	private void learn(List<Run> serving, List<Run> filling) {
		Map<String, Double> shares = new HashMap<>();
		for (Run run : filling) {
			double share = TailForecast.reportedShare(run);
			if (share > 0) {
				shares.merge(run.task.spec().image(), share, Double::sum);
			}
		}
		for (Run run : serving) {
			this.forecast.model().observe(run.task.spec().image(), TailForecast.ratio(run), shares);
		}
	}

	private void relieve(Run serving, List<Run> filling) {
		double excess = this.forecast.expected(serving) - Math.log(GOAL);
		List<Run> worst = new ArrayList<>(
				filling.stream().filter((run) -> !this.forecast.harmless(serving, run.task)).toList());
		worst.sort(Comparator.comparingDouble((Run run) -> -effect(serving, run)));
		for (Run run : worst) {
			if (excess <= 0) {
				return;
			}
			double effect = effect(serving, run);
			double kept = (effect > excess) ? 1 - excess / effect : 0;
			order(run, (int) (kept * run.pace));
			excess -= effect;
		}
	}

	private boolean disturbsAny(Run filling, List<Run> serving) {
		return serving.stream()
			.anyMatch((run) -> TailForecast.ratio(run) >= DISTURBED && !this.forecast.harmless(run, filling.task));
	}

	private double effect(Run serving, Run filling) {
		double share = TailForecast.share(filling.task, filling.worker) * filling.pace / FULL_PACE;
		return this.forecast.sensitivity(serving, filling.task) * share;
	}

	private void speedUp(Run filling, List<Run> serving) {
		double share = TailForecast.share(filling.task, filling.worker);
		double most = SPEED_UP;
		for (Run run : serving) {
			if (this.forecast.harmless(run, filling.task)) {
				continue;
			}
			double room = Math.log(GOAL) - this.forecast.expected(run);
			double perPercent = this.forecast.sensitivity(run, filling.task) * share / FULL_PACE;
			most = Math.min(most, room / perPercent);
		}
		int pace = (int) Math.min(FULL_PACE, filling.pace + Math.max(0, most));
		if (pace - filling.pace >= LEAST_CHANGE || pace == FULL_PACE) {
			order(filling, pace);
		}
	}

	private void order(Run run, int percent) {
		if (percent == run.pace || run.paceInFlight) {
			return;
		}
		run.paceInFlight = true;
		int former = run.pace;
		run.pace = percent;
		this.state.log.append("run-paced", run.task.name, "worker", run.worker, "percent", percent, "was", former);
		this.state.orders.setSpeed(run.worker.listing, run.task.name, run.number, percent,
				(answer) -> answered(run, former, answer));
	}

	private void answered(Run run, int former, CommandResult answer) {
		run.paceInFlight = false;
		run.progressedAt = this.state.now();
		if (!(answer instanceof CommandResult.Done)) {
			// The next report decides again.
			run.pace = former;
		}
	}

}
