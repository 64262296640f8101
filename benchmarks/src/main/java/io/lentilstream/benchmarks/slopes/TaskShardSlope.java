package io.lentilstream.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Measures the processor time of placements and renewals and the memory of a task shard
 * by the number of workers and tasks.
 */
final class TaskShardSlope implements SlopeMeasurement {

	private static final int IDLE_SECONDS = 30;

	private static final String BYTES = "bytes";

	private final int[] workers;

	private final int[] tasks;

	private final int tasksPerWorker;

	private final int rounds;

	TaskShardSlope(int[] workers, int[] tasks, int tasksPerWorker, int rounds) {
		this.workers = workers;
		this.tasks = tasks;
		this.tasksPerWorker = tasksPerWorker;
		this.rounds = rounds;
	}

	@Override
	public List<Slope> measure() {
		int fixedWorkers = this.workers[this.workers.length - 1];
		int fixedTasks = this.tasks[0];
		List<Slope> slopes = new ArrayList<>();
		slopes.add(Slope.of("placement-cpu-by-workers", "ns per start", "workers",
				points(this.workers, (count) -> placementNanos(count, count * this.tasksPerWorker))));
		slopes.add(Slope.of("placement-cpu-by-tasks", "ns per start", "tasks",
				points(this.tasks, (count) -> placementNanos(fixedWorkers, count))));
		slopes.add(Slope.of("running-shard-cpu", "ns per second", "running tasks", points(this.tasks,
				(count) -> CostMeter.median(this.rounds, () -> idleNanos(fixedWorkers, count) / IDLE_SECONDS))));
		slopes.add(Slope.of("task-shard-memory-by-tasks", BYTES, "tasks",
				points(this.tasks, (count) -> memory(fixedWorkers, count))));
		slopes.add(Slope.of("task-shard-memory-by-workers", BYTES, "workers",
				points(this.workers, (count) -> memory(count, fixedTasks))));
		slopes.add(Slope.of("task-shard-snapshot", BYTES, "tasks",
				points(this.tasks, (count) -> TaskShardRun.fill(fixedWorkers, count).shard().snapshot().length)));
		return slopes;
	}

	private double placementNanos(int workerCount, int taskCount) {
		return CostMeter.median(this.rounds, () -> {
			TaskShardRun run = TaskShardRun.fill(workerCount, taskCount);
			return run.cpuNanos() / (double) run.starts();
		});
	}

	private static double idleNanos(int workerCount, int taskCount) {
		TaskShardRun run = TaskShardRun.fill(workerCount, taskCount);
		run.idle(IDLE_SECONDS);
		return run.cpuNanos();
	}

	private static double memory(int workerCount, int taskCount) {
		return CostMeter.retainedBytes(() -> TaskShardRun.fill(workerCount, taskCount).shard());
	}

	private static List<SlopePoint> points(int[] sizes, ToDoubleFunction<Integer> value) {
		List<SlopePoint> points = new ArrayList<>();
		for (int size : sizes) {
			points.add(new SlopePoint(size, value.applyAsDouble(size)));
		}
		return points;
	}

}
