package io.lentilstream.benchmarks.tasks.baselines;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class BaselineDriverTests {

	private static final long SEED = 20261204;

	private static final long MILLIS = 300_000;

	// Guards against figures that cannot be repeated.
	@Test
	void givesTheSameResultForTheSameSeed() {
		List<String> first = BaselineDriver.run(SEED, 3, MILLIS, 0.5).stream().map(Results::toString).toList();
		List<String> second = BaselineDriver.run(SEED, 3, MILLIS, 0.5).stream().map(Results::toString).toList();

		assertThat(second).isEqualTo(first);
	}

	// Guards against policies that are measured over different work.
	@Test
	void givesEveryPolicyTheSameArrivals() {
		List<Results> results = BaselineDriver.run(SEED, 3, MILLIS, 0.5);

		assertThat(results).extracting((result) -> result.arrivals).containsOnly(results.get(0).arrivals);
		assertThat(results).allSatisfy((result) -> assertThat(result.finishedCoreSeconds).isPositive());
		assertThat(BaselineDriver.run(SEED + 1, 3, MILLIS, 0.5).get(0).arrivals).isNotEqualTo(results.get(0).arrivals);
	}

	// Guards against a count of commitments over capacity that is always zero.
	@Test
	void countsAStartThatCommitsMoreThanTheVmHolds() {
		Results results = new Results("test");
		Cluster cluster = new Cluster(new EventQueue(), 1, results);
		SimulatedTask task = Workload.draw(SEED, 1, MILLIS, 0.5).tasks().get(0);

		cluster.start(task, Cluster.CAPACITY, 0, Optional.empty());
		assertThat(results.overCommitments).isZero();
		cluster.start(task, new Resources(1, 0, 0), 0, Optional.empty());
		assertThat(results.overCommitments).isEqualTo(1);
	}

}
