package io.lentilstream.benchmarks.requests;

import java.util.Arrays;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Predicate;

import io.lentilstream.requests.PoolSnapshot;

/**
 * Measures the request decisions against the baselines and the central queue in virtual
 * time. The arguments are seeds. All figures of a table come from the same requests.
 */
public final class RequestDriver {

	private static final long DEFAULT_SEED = 1;

	private static final long WARM_UP = 5_000_000_000L;

	private static final long LENGTH = 25_000_000_000L;

	private static final long TAIL = 5_000_000_000L;

	private static final double PEAK = 1.3;

	private RequestDriver() {
	}

	/**
	 * Runs the measurement.
	 * @param args the seeds, 1 if none is given
	 */
	public static void main(String[] args) {
		long[] seeds = (args.length > 0) ? Arrays.stream(args).mapToLong(Long::parseLong).toArray()
				: new long[] { DEFAULT_SEED };
		for (long seed : seeds) {
			for (Topology topology : List.of(new Topology(45, 3, 2, WARM_UP), new Topology(32, 4, 2, WARM_UP))) {
				System.out.printf("%n%d endpoints, %d zones with %d entry VMs each, seed %d%n", topology.endpoints(),
						topology.zones(), topology.entriesPerZone(), seed);
				measure("load 80%", topology, seed, 0.8, (time) -> 0.8);
				measure("swing 32.5% to 130%", topology, seed, PEAK, RequestDriver::swing);
			}
		}
	}

	/**
	 * Returns the offered load of the swing: four times as much within 2 s, for 10 s.
	 * @param nanos the instant
	 * @return the load relative to the capacity
	 */
	private static double swing(double nanos) {
		double seconds = (nanos - WARM_UP) / Workload.SECOND;
		double rise = Math.max(0, Math.min(1, seconds / 2));
		double fall = Math.max(0, Math.min(1, (seconds - 12) / 2));
		return PEAK / 4 * (1 + 3 * (rise - fall));
	}

	private static void measure(String name, Topology topology, long seed, double maxLoad, DoubleUnaryOperator load) {
		List<Job> jobs = Workload.generate(topology, seed, LENGTH, maxLoad, load);
		long end = LENGTH + TAIL;
		Results ideal = CentralQueue.run(topology, jobs, end);
		SchedulerRun.Run run = SchedulerRun.run(topology, jobs, seed, end);
		System.out.printf("%n%s: %d requests%n", name, jobs.size());
		System.out.printf("%-20s %12s %12s %12s %12s %12s %12s %12s%n", "", "urgent p99", "p99 short", "p99 wait",
				"in time", "within 0.1 s", "batch work", "over limit");
		print("central queue", ideal, ideal);
		print("lentilstream", run.results(), ideal);
		Results least = FifoBaseline.run(topology, jobs, true, end);
		Results random = FifoBaseline.run(topology, jobs, false, end);
		print("FIFO least in flight", least, ideal);
		print("FIFO random", random, ideal);
		printCounts(run);
		printRatios(run.results(), ideal, least, random);
	}

	private static void printRatios(Results results, Results ideal, Results least, Results random) {
		Predicate<Job> urgent = (job) -> job.arrivalNanos() >= WARM_UP && job.urgent();
		Predicate<Job> shortWork = urgent.and((job) -> !job.straggler());
		double wait = results.waitMillis(0.99, shortWork);
		System.out.printf(
				"ratios: urgent p99 %.3f and p99 short %.3f of the central queue; "
						+ "p99 wait lower than with FIFO least in flight %.1fx, random %.1fx%n",
				results.latencyMillis(0.99, urgent) / ideal.latencyMillis(0.99, urgent),
				results.latencyMillis(0.99, shortWork) / ideal.latencyMillis(0.99, shortWork),
				least.waitMillis(0.99, shortWork) / wait, random.waitMillis(0.99, shortWork) / wait);
	}

	private static void print(String name, Results results, Results ideal) {
		Predicate<Job> measured = (job) -> job.arrivalNanos() >= WARM_UP;
		Predicate<Job> urgent = measured.and(Job::urgent);
		Predicate<Job> shortWork = urgent.and((job) -> !job.straggler());
		Predicate<Job> batch = (job) -> !job.urgent();
		System.out.printf("%-20s %12.2f %12.2f %12.3f %11.3f%% %11.3f%% %12.3f %12d%n", name,
				results.latencyMillis(0.99, urgent), results.latencyMillis(0.99, shortWork),
				results.waitMillis(0.99, shortWork), 100 * results.answeredShare(urgent),
				100 * results.shareWithin(100_000_000L, urgent),
				results.workSeconds(batch, WARM_UP, LENGTH) / ideal.workSeconds(batch, WARM_UP, LENGTH),
				results.overLimit());
	}

	private static void printCounts(SchedulerRun.Run run) {
		long forwarded = run.snapshots().stream().mapToLong(PoolSnapshot::forwarded).sum();
		long refused = run.snapshots().stream().mapToLong(PoolSnapshot::refused).sum();
		long unknown = run.snapshots().stream().mapToLong(PoolSnapshot::unknown).sum();
		long retried = run.snapshots().stream().mapToLong(PoolSnapshot::retried).sum();
		System.out.printf("forwarded %d, refused %d, unknown %d, retried %d, second final actions %d%n", forwarded,
				refused, unknown, retried, run.results().secondFinalActions());
	}

}
