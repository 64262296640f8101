package io.lentilstream.benchmarks.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;

/**
 * Generates the requests of a run from a seed: Poisson arrivals of urgent and batch work
 * whose rate follows an offered load over time.
 */
final class Workload {

	static final double SECOND = 1e9;

	static final long URGENT_DEADLINE_NANOS = 1_000_000_000L;

	private static final long BATCH_DEADLINE_NANOS = 60_000_000_000L;

	private static final double URGENT_MEAN_NANOS = 10e6;

	private static final double URGENT_SIGMA = 0.5;

	private static final double BATCH_MEAN_NANOS = 200e6;

	private static final double BATCH_SIGMA = 0.8;

	/** Share of the offered work that is batch. */
	private static final double BATCH_SHARE = 2.0 / 3;

	private static final double STRAGGLER_SHARE = 0.01;

	private static final double STRAGGLER_FACTOR = 50;

	private static final double MEAN_FACTOR = 1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1);

	private Workload() {
	}

	/**
	 * Generates requests.
	 * @param topology the layout, for the capacity and the entry VMs
	 * @param seed the seed
	 * @param lengthNanos the length of the run
	 * @param maxLoad the highest offered load of the run, relative to the capacity
	 * @param load the offered load at an instant in nanoseconds
	 * @return the requests in the order of arrival
	 */
	static List<Job> generate(Topology topology, long seed, long lengthNanos, double maxLoad,
			DoubleUnaryOperator load) {
		Random gaussian = new Random(seed);
		SplittableRandom random = new SplittableRandom(seed);
		double urgentRate = rate(topology, 1 - BATCH_SHARE, URGENT_MEAN_NANOS) * maxLoad;
		double batchRate = rate(topology, BATCH_SHARE, BATCH_MEAN_NANOS) * maxLoad;
		List<Job> jobs = new ArrayList<>();
		double time = 0;
		while (true) {
			time += -Math.log(1 - random.nextDouble()) / (urgentRate + batchRate);
			if (time >= lengthNanos) {
				return jobs;
			}
			boolean urgent = random.nextDouble() * (urgentRate + batchRate) < urgentRate;
			boolean straggler = random.nextDouble() < STRAGGLER_SHARE;
			double service = lognormal(gaussian, urgent) * (straggler ? STRAGGLER_FACTOR : 1);
			int entry = random.nextInt(topology.entries());
			long pick = random.nextLong() >>> 1;
			if (random.nextDouble() * maxLoad < load.applyAsDouble(time)) {
				long deadline = (long) time + (urgent ? URGENT_DEADLINE_NANOS : BATCH_DEADLINE_NANOS);
				jobs.add(new Job(jobs.size(), (long) time, deadline, urgent, straggler, Math.max(1, (long) service),
						entry, pick));
			}
		}
	}

	private static double rate(Topology topology, double share, double meanNanos) {
		return share * topology.slots() / (meanNanos * MEAN_FACTOR);
	}

	private static double lognormal(Random gaussian, boolean urgent) {
		double mean = urgent ? URGENT_MEAN_NANOS : BATCH_MEAN_NANOS;
		double sigma = urgent ? URGENT_SIGMA : BATCH_SIGMA;
		return mean * Math.exp(sigma * gaussian.nextGaussian() - sigma * sigma / 2);
	}

}
