package io.lentilstream.benchmarks.tasks.baselines;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StoreWritesDriverTests {

	// Guards against a rate that is computed from starts or writes that did not happen.
	@Test
	void countsTheStartsThatWereAskedForAndTheWritesOfTheLog() {
		StoreWritesDriver.Rate rate = StoreWritesDriver.measure(50, 4, 10_000, 30_000);

		assertThat(rate.starts()).isBetween(950L, 1050L);
		assertThat(rate.writes()).isPositive().isLessThan(rate.starts());
		assertThat(rate.refused()).isZero();
	}

}
