package io.lentilstream.jobs.accounting;

import java.util.Comparator;
import java.util.List;
import java.util.stream.LongStream;

/**
 * The division of a job's time into phases. The time of each step on the critical chain
 * is that of its last task, so the phases add up to the time from the release of the
 * first step to the end.
 *
 * @param chain the time in each phase along the critical chain
 * @param tailMillis the time along the chain for which at least half of a step's tasks
 * had ended; part of the phases, not in addition to them
 */
public record JobTimes(PhaseTimes chain, long tailMillis) {

	/** The multiple of the median run time of its step beyond which a run straggles. */
	private static final double STRAGGLER_FACTOR = 1.5;

	/** The minimum number of tasks of a step for a meaningful median. */
	private static final int MIN_TASKS_FOR_MEDIAN = 3;

	/**
	 * Returns the times of a job.
	 * @param steps the steps in order
	 * @param now the current time in milliseconds, up to which incomplete steps count
	 * @return the times
	 */
	public static JobTimes of(List<StepTimers> steps, long now) {
		PhaseTimes chain = new PhaseTimes();
		long tailMillis = 0;
		StepTimers step = last(steps, now);
		while (step != null) {
			TaskTimer task = lastTask(step, now);
			chain.addAll(task.times());
			moveStraggling(step, task, chain);
			tailMillis += task.endOr(now) - step.medianEnd(now);
			step = last(step.dependsOn().stream().map(steps::get).toList(), now);
		}
		return new JobTimes(chain, tailMillis);
	}

	private static StepTimers last(List<StepTimers> steps, long now) {
		return steps.stream()
			.filter(StepTimers::begun)
			.max(Comparator.comparingLong((step) -> step.end(now)))
			.orElse(null);
	}

	private static TaskTimer lastTask(StepTimers step, long now) {
		step.tasks().stream().filter(TaskTimer::begun).forEach((task) -> task.chargeUpTo(now));
		return step.tasks()
			.stream()
			.filter(TaskTimer::begun)
			.max(Comparator.comparingLong((TaskTimer task) -> task.endOr(now))
				.thenComparingInt((task) -> task.times().lost()))
			.orElseThrow();
	}

	private static void moveStraggling(StepTimers step, TaskTimer task, PhaseTimes chain) {
		if (step.tasks().size() < MIN_TASKS_FOR_MEDIAN) {
			return;
		}
		long median = median(step.tasks().stream().filter(TaskTimer::begun).mapToLong(TaskTimer::workMillis));
		int excess = (int) (task.workMillis() - STRAGGLER_FACTOR * median);
		if (excess > 0) {
			int full = Math.min(excess, task.times().get(TimePhase.FULL));
			chain.move(TimePhase.FULL, TimePhase.STRAGGLING, full);
			chain.move(TimePhase.AWAY, TimePhase.STRAGGLING, excess - full);
		}
	}

	private static long median(LongStream values) {
		long[] sorted = values.sorted().toArray();
		return sorted[(sorted.length - 1) / 2];
	}

	/**
	 * The timers of a step.
	 *
	 * @param dependsOn the numbers of the steps that had to be done first
	 * @param tasks the timers of the tasks
	 */
	public record StepTimers(List<Integer> dependsOn, List<TaskTimer> tasks) {

		boolean begun() {
			return this.tasks.stream().anyMatch(TaskTimer::begun);
		}

		long end(long now) {
			return this.tasks.stream().filter(TaskTimer::begun).mapToLong((task) -> task.endOr(now)).max().orElse(0);
		}

		long medianEnd(long now) {
			return median(this.tasks.stream().filter(TaskTimer::begun).mapToLong((task) -> task.endOr(now)));
		}

	}

}
