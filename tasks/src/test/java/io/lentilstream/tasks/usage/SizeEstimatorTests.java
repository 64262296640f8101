package io.lentilstream.tasks.usage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.tasks.log.SizeFactor;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that sizes are not learned from too few or invalid reports, stay between a
 * quarter of and 4 times the declared size, and follow changes of the usage.
 */
class SizeEstimatorTests {

	@ParameterizedTest(name = "{0} reports of {1} and {2}")
	@CsvSource({ "3, 2, 2, 16, 16", "4, 2, 2, 35, 35", "4, 0.5, 3, 9, 50", "4, 0, 0, 4, 4", "4, 100, 100, 64, 64",
			"4, NaN, Infinity, 4, 64", "1000, 1, 1, 18, 18" })
	void learnsTheUpperBucketEdgeOfTheUsage(int reports, double cores, double memory, int coreSixteenths,
			int memorySixteenths) {
		SizeEstimator estimator = new SizeEstimator();
		for (int i = 0; i < reports; i++) {
			estimator.observe(cores, memory);
		}
		assertThat(estimator.current()).isEqualTo(new SizeFactor(coreSixteenths, memorySixteenths));
	}

	@ParameterizedTest(name = "{0} of 100 reports are large")
	@CsvSource({ "4, 18, 18", "6, 18, 35", "29, 18, 35", "31, 35, 35" })
	void usesAHigherQuantileForMemoryThanForCores(int large, int coreSixteenths, int memorySixteenths) {
		SizeEstimator estimator = new SizeEstimator();
		for (int i = 0; i < 100; i++) {
			double ratio = (i < large) ? 2 : 1;
			estimator.observe(ratio, ratio);
		}
		assertThat(estimator.current()).isEqualTo(new SizeFactor(coreSixteenths, memorySixteenths));
	}

	@ParameterizedTest
	@CsvSource({ "20, 18", "400, 35" })
	void followsAChangeOfUsage(int reports, int coreSixteenths) {
		SizeEstimator estimator = new SizeEstimator();
		for (int i = 0; i < 10_000; i++) {
			estimator.observe(1, 1);
		}
		for (int i = 0; i < reports; i++) {
			estimator.observe(2, 1);
		}
		assertThat(estimator.current().coreSixteenths()).isEqualTo(coreSixteenths);
	}

}
