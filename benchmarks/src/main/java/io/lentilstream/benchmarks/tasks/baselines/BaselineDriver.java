package io.lentilstream.benchmarks.tasks.baselines;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Measures batch throughput and evictions of the task decisions against first fit and
 * best fit by declared sizes, in virtual time over the same arrivals. Arguments: seeds.
 */
public final class BaselineDriver {

	private static final int WORKERS = 45;

	private static final long RUN_MILLIS = Duration.ofHours(1).toMillis();

	/**
	 * Shares of the programs that declare more than they use. Half and half overloads the
	 * memory under policies that trust declared sizes, which favours learning; the others
	 * favour it less.
	 */
	private static final List<Double> OVER_DECLARED = List.of(0.5, 0.75, 1.0);

	private static final long GROUP_COMMIT_MILLIS = 20;

	private BaselineDriver() {
	}

	/**
	 * Runs the measurement and prints one line per policy and the ratios.
	 * @param arguments the seeds
	 */
	public static void main(String[] arguments) {
		for (String argument : arguments) {
			long seed = Long.parseLong(argument);
			for (double overDeclared : OVER_DECLARED) {
				List<Results> results = run(seed, WORKERS, RUN_MILLIS, overDeclared);
				System.out.println("seed " + seed + ", share of sizes declared too large " + overDeclared);
				results.forEach(System.out::println);
				for (Results shard : results.subList(2, results.size())) {
					System.out.println(ratios(results.subList(0, 2), shard));
				}
			}
		}
	}

	/**
	 * Runs all policies over the same arrivals.
	 * @param seed the seed of the arrivals
	 * @param workers the number of workers
	 * @param endMillis the virtual time of the run
	 * @param overDeclared the share of programs that declare more than they use
	 * @return the results: the two baselines first
	 */
	static List<Results> run(long seed, int workers, long endMillis, double overDeclared) {
		Workload workload = Workload.draw(seed, workers, endMillis, overDeclared);
		Map<String, Factory> policies = new LinkedHashMap<>();
		policies.put("first fit", (events, cluster, results) -> new DeclaredSizePolicy(events, cluster, false));
		policies.put("best fit", (events, cluster, results) -> new DeclaredSizePolicy(events, cluster, true));
		policies.put("task shard, commits at once", (events, cluster, results) -> new TaskShardPolicy(events, cluster,
				results, DurableLog.inGroups(events, 0)));
		policies.put("task shard, commits in groups", (events, cluster, results) -> new TaskShardPolicy(events, cluster,
				results, DurableLog.inGroups(events, GROUP_COMMIT_MILLIS)));
		List<Results> all = new ArrayList<>();
		policies.forEach((name, factory) -> all.add(run(name, factory, workload, workers, endMillis)));
		return all;
	}

	private static Results run(String name, Factory factory, Workload workload, int workers, long endMillis) {
		Results results = new Results(name);
		EventQueue events = new EventQueue();
		Policy policy = factory.create(events, new Cluster(events, workers, results), results);
		workload.jobs().forEach((job, tasks) -> events.after(job.arrivalMillis(), () -> {
			results.arrived(job, tasks, events.millis());
			policy.submit(job, tasks);
		}));
		events.runUntil(endMillis);
		policy.complete(results);
		return results;
	}

	private static String ratios(List<Results> baselines, Results shard) {
		double throughput = baselines.stream().mapToDouble((baseline) -> baseline.finishedCoreSeconds).max().orElse(0);
		long evictions = baselines.stream().mapToLong(Results::evictions).min().orElse(0);
		return String.format(Locale.ROOT,
				"%s against the better baseline of each figure: throughput %.3fx (target 1.2), evictions %.3fx "
						+ "(target 0.5), over capacity %d (target 0)",
				shard.policy, shard.finishedCoreSeconds / throughput, shard.evictions() / (double) evictions,
				shard.overCommitments + shard.overCommitmentsSeen);
	}

	private interface Factory {

		Policy create(EventQueue events, Cluster cluster, Results results);

	}

}
