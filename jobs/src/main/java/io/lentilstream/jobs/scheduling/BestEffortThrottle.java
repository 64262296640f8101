package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.jobs.CommandResult;

/**
 * Throttles the best-effort tasks that interfere with a serving task near its latency
 * target, starting with those that interfere most, and speeds them up again when the
 * latency permits. Load pattern: the load of serving tasks fluctuates within seconds,
 * while best-effort tasks run for longer.
 */
final class BestEffortThrottle {

	/** The share of its latency target from which a serving task causes throttling. */
	private static final double SLOW_DOWN_RATIO = 0.95;

	/**
	 * The share of its latency target below which a serving task has to get before the
	 * time over target ends, since reported tail latencies are imprecise.
	 */
	private static final double RECOVERED_RATIO = 0.9;

	/**
	 * The share of its latency target below which the tail latency of a serving task
	 * should stay.
	 */
	private static final double GOAL_RATIO = 0.8;

	/** The time over target after which interfering tasks are paused, in milliseconds. */
	private static final long PAUSE_INTERFERING_MILLIS = 900;

	/**
	 * The time over target after which all best-effort tasks are paused, in milliseconds,
	 * even those that seem harmless.
	 */
	private static final long PAUSE_ALL_MILLIS = 1500;

	private static final int FULL_SPEED = 100;

	/**
	 * The smallest increase of speed for which a command is sent, in percentage points.
	 */
	private static final int MIN_CHANGE = 10;

	/** The largest increase of speed at once, in percentage points. */
	private static final int MAX_SPEED_UP = 50;

	private final SchedulerState state;

	private final TailForecast forecast;

	BestEffortThrottle(SchedulerState state, TailForecast forecast) {
		this.state = state;
		this.forecast = forecast;
	}

	void apply(Worker worker, long now) {
		List<Run> servingRuns = new ArrayList<>();
		List<Run> bestEffortRuns = new ArrayList<>();
		for (Run run : worker.runs.values()) {
			if (run.phase != Run.Phase.RUNNING) {
				continue;
			}
			if (run.task.spec().serves() && run.measurement > 0) {
				servingRuns.add(run);
			}
			else if (run.task.spec().traits().bestEffort() && !run.stopRequested) {
				bestEffortRuns.add(run);
			}
		}
		if (servingRuns.isEmpty()) {
			worker.overTargetSince = -1;
			bestEffortRuns.forEach((run) -> setSpeed(run, FULL_SPEED));
			return;
		}
		updateModel(servingRuns, bestEffortRuns);
		double worstRatio = servingRuns.stream().mapToDouble(TailForecast::ratio).max().orElse(0);
		if (worstRatio >= 1 && worker.overTargetSince < 0) {
			worker.overTargetSince = now;
		}
		else if (worstRatio < RECOVERED_RATIO) {
			worker.overTargetSince = -1;
		}
		servingRuns.stream().filter((run) -> TailForecast.ratio(run) >= 1).forEach((run) -> run.lastOverTargetAt = now);
		long overTargetMillis = (worker.overTargetSince >= 0) ? now - worker.overTargetSince : 0;
		if (overTargetMillis >= PAUSE_ALL_MILLIS) {
			bestEffortRuns.forEach((run) -> setSpeed(run, 0));
		}
		else if (overTargetMillis >= PAUSE_INTERFERING_MILLIS) {
			bestEffortRuns.stream()
				.filter((run) -> interferesWithAny(run, servingRuns))
				.forEach((run) -> setSpeed(run, 0));
		}
		else if (worstRatio >= SLOW_DOWN_RATIO) {
			servingRuns.stream()
				.filter((run) -> TailForecast.ratio(run) >= SLOW_DOWN_RATIO)
				.forEach((run) -> slowDown(run, bestEffortRuns));
		}
		else {
			bestEffortRuns.stream()
				.filter((run) -> run.speedPercent < FULL_SPEED || !run.speedConfirmed)
				.forEach((run) -> speedUp(run, servingRuns));
		}
	}

	private void updateModel(List<Run> servingRuns, List<Run> bestEffortRuns) {
		Map<String, Double> shares = new HashMap<>();
		for (Run run : bestEffortRuns) {
			double share = TailForecast.reportedShare(run);
			if (share > 0) {
				shares.merge(run.task.spec().image(), share, Double::sum);
			}
		}
		for (Run run : servingRuns) {
			this.forecast.model().observe(run.task.spec().image(), TailForecast.ratio(run), shares);
		}
	}

	private void slowDown(Run serving, List<Run> bestEffortRuns) {
		double excess = this.forecast.expectedLogRatio(serving) - Math.log(GOAL_RATIO);
		List<Run> interfering = new ArrayList<>(
				bestEffortRuns.stream().filter((run) -> !this.forecast.harmless(serving, run.task)).toList());
		interfering.sort(Comparator.comparingDouble((Run run) -> -effect(serving, run)));
		for (Run run : interfering) {
			if (excess <= 0) {
				return;
			}
			double effect = effect(serving, run);
			double remaining = (effect > excess) ? 1 - excess / effect : 0;
			setSpeed(run, (int) (remaining * run.speedPercent));
			excess -= effect;
		}
	}

	private boolean interferesWithAny(Run bestEffortRun, List<Run> servingRuns) {
		return servingRuns.stream()
			.anyMatch((run) -> TailForecast.ratio(run) >= SLOW_DOWN_RATIO
					&& !this.forecast.harmless(run, bestEffortRun.task));
	}

	private double effect(Run serving, Run bestEffortRun) {
		double share = TailForecast.requestedShare(bestEffortRun.task, bestEffortRun.worker)
				* bestEffortRun.speedPercent / FULL_SPEED;
		return this.forecast.sensitivity(serving, bestEffortRun.task) * share;
	}

	private void speedUp(Run bestEffortRun, List<Run> servingRuns) {
		double share = TailForecast.requestedShare(bestEffortRun.task, bestEffortRun.worker);
		double increase = MAX_SPEED_UP;
		for (Run run : servingRuns) {
			if (this.forecast.harmless(run, bestEffortRun.task)) {
				continue;
			}
			double margin = Math.log(GOAL_RATIO) - this.forecast.expectedLogRatio(run);
			double perPercent = this.forecast.sensitivity(run, bestEffortRun.task) * share / FULL_SPEED;
			increase = Math.min(increase, margin / perPercent);
		}
		int newPercent = (int) Math.min(FULL_SPEED, bestEffortRun.speedPercent + Math.max(0, increase));
		if (newPercent - bestEffortRun.speedPercent >= MIN_CHANGE || newPercent == FULL_SPEED) {
			setSpeed(bestEffortRun, newPercent);
		}
	}

	private void setSpeed(Run run, int percent) {
		if ((percent == run.speedPercent && run.speedConfirmed) || run.speedChangeInFlight) {
			return;
		}
		run.speedChangeInFlight = true;
		int previousPercent = run.speedPercent;
		long now = this.state.now();
		run.changeSpeed(percent, now);
		this.state.log.append("run-paced", run.task.name, "worker", run.worker, "percent", percent, "was",
				previousPercent);
		this.state.commands.setSpeed(run.worker.listing, run.task.name, run.number, percent,
				(result) -> handleResult(run, previousPercent, now, result));
	}

	private void handleResult(Run run, int previousPercent, long sent, CommandResult result) {
		run.speedChangeInFlight = false;
		run.progressedAt = this.state.now();
		if (result instanceof CommandResult.Refused refused && refused.reason() == CommandResult.Refusal.FENCED) {
			this.state.handleFenced(run.worker, sent);
		}
		if (result instanceof CommandResult.Done) {
			run.speedConfirmed = true;
		}
		else {
			// The next report triggers another attempt.
			run.changeSpeed(previousPercent, this.state.now());
		}
	}

}
