package io.lentilstream.benchmarks.tasks.baselines;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

/**
 * Draws the arrivals of a run from a seed: noisy waves of batch jobs that offer more work
 * than the workers can do, and waves of urgent tasks.
 *
 * @param tasks all tasks, in the order of arrival
 * @param offeredCoreSeconds the useful work of all batch tasks
 */
record Workload(List<SimulatedTask> tasks, double offeredCoreSeconds) {

	private static final int BATCH_PROGRAMS = 14;

	private static final int URGENT_PROGRAMS = 4;

	/** Batch work offered, relative to all cores over the whole run. */
	private static final double OFFERED_LOAD = 1.3;

	private static final double STRAGGLERS = 0.01;

	private static final double STRAGGLER_FACTOR = 50;

	/** Largest error of a declared size, in both directions. */
	private static final double DECLARATION_ERROR = 4;

	private static final int WAVE_SECONDS = 300;

	private static final int URGENT_WAVE_SECONDS = 90;

	static Workload draw(long seed, int workers, long endMillis, double overDeclared) {
		SplittableRandom random = new SplittableRandom(seed);
		List<SimulatedProgram> batch = programs(random, BATCH_PROGRAMS, "batch", DECLARATION_ERROR, overDeclared);
		List<SimulatedProgram> urgent = programs(random, URGENT_PROGRAMS, "urgent", 2, overDeclared);
		List<SimulatedTask> tasks = new ArrayList<>();
		double cores = Cluster.CAPACITY.milliCores() / 1000.0 * workers;
		double offered = 0;
		int job = 0;
		double wanted = OFFERED_LOAD * cores * endMillis / 1000;
		while (offered < wanted) {
			// Three of four jobs arrive in the first third of a wave.
			long wave = random.nextLong(Math.max(1, endMillis / 1000 / WAVE_SECONDS)) * WAVE_SECONDS;
			long second = wave + random.nextInt((random.nextInt(4) > 0) ? WAVE_SECONDS / 3 : WAVE_SECONDS);
			SimulatedProgram program = batch.get(random.nextInt(batch.size()));
			long scale = 1 + random.nextInt(2);
			Resources declared = new Resources(scale * program.declared().milliCores(),
					scale * program.declared().memoryMegabytes(), 0);
			SimulatedJob next = new SimulatedJob("batch-" + job++, second * 1000 + random.nextInt(1000), program,
					Urgency.BATCH, declared, 5 + random.nextInt(40));
			for (SimulatedTask task : tasksOf(next, 30 + random.nextInt(200), random)) {
				tasks.add(task);
				offered += task.usefulCoreSeconds();
			}
		}
		for (long second = 20; second * 1000 < endMillis; second += URGENT_WAVE_SECONDS / 2
				+ random.nextInt(URGENT_WAVE_SECONDS)) {
			int size = (int) (workers * (0.3 + 1.5 * random.nextDouble()));
			SimulatedProgram program = urgent.get(random.nextInt(urgent.size()));
			SimulatedJob next = new SimulatedJob("urgent-" + job++, second * 1000 + random.nextInt(1000), program,
					Urgency.URGENT, program.declared(), size);
			tasks.addAll(tasksOf(next, 20 + random.nextInt(100), random));
		}
		tasks.sort(Comparator.comparingLong((task) -> task.job().arrivalMillis()));
		return new Workload(List.copyOf(tasks), offered);
	}

	Map<SimulatedJob, List<SimulatedTask>> jobs() {
		return this.tasks.stream()
			.collect(Collectors.groupingBy(SimulatedTask::job, LinkedHashMap::new, Collectors.toList()));
	}

	private static List<SimulatedTask> tasksOf(SimulatedJob job, double seconds, SplittableRandom random) {
		List<SimulatedTask> tasks = new ArrayList<>();
		for (int i = 0; i < job.count(); i++) {
			double useful = seconds * (0.75 + 0.5 * random.nextDouble());
			boolean straggles = !job.urgent() && random.nextDouble() < STRAGGLERS;
			Resources real = new Resources(size(job.declared().milliCores(), job.program().coreRatio(), random),
					size(job.declared().memoryMegabytes(), job.program().memoryRatio(), random), 0);
			tasks.add(new SimulatedTask(job, i, real, straggles ? useful * STRAGGLER_FACTOR : useful, useful));
		}
		return tasks;
	}

	private static long size(long declared, double ratio, SplittableRandom random) {
		double varied = ratio * (0.85 + 0.3 * random.nextDouble());
		return Math.round(declared * Math.max(1 / DECLARATION_ERROR, Math.min(DECLARATION_ERROR, varied)));
	}

	private static List<SimulatedProgram> programs(SplittableRandom random, int count, String name, double error,
			double overDeclared) {
		List<SimulatedProgram> programs = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			double noise = (random.nextInt(3) == 0) ? 2 * random.nextDouble() : 0.2 * random.nextDouble();
			Resources declared = new Resources(500 * (1 + random.nextInt(4)), 1024 * (1 + random.nextInt(5)), 0);
			programs
				.add(new SimulatedProgram(name + "-" + i, "team-" + i % 5, declared, ratio(random, error, overDeclared),
						ratio(random, error, overDeclared), noise, random.nextDouble()));
		}
		return programs;
	}

	private static double ratio(SplittableRandom random, double error, double overDeclared) {
		double exponent = random.nextDouble();
		return Math.pow(error, (random.nextDouble() < overDeclared) ? -exponent : exponent);
	}

}
