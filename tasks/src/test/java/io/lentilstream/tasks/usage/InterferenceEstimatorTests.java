package io.lentilstream.tasks.usage;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.MonotonicTime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests that interference is learned from reports, decays over time, and is not learned
 * from noise or invalid reports.
 */
class InterferenceEstimatorTests {

	private static final Duration HALF_LIFE = Duration.ofMinutes(10);

	private static final MonotonicTime START = MonotonicTime.ofMillis(-1_000);

	private final InterferenceEstimator estimator = new InterferenceEstimator(HALF_LIFE, 2);

	@ParameterizedTest
	@CsvSource({ "1, 0", "1.04, 0", "0, 0", "1.5, 0.1", "2, 0.2", "4, 0.6", "NaN, 0", "Infinity, 0" })
	void learnsTheExtraRunTimeOfTheFirstReport(double slowdown, double expected) {
		this.estimator.observe(1, 2, slowdown, START);
		assertThat(this.estimator.mutualSlowdown(1, 2, START)).isCloseTo(expected, within(1e-9));
		assertThat(this.estimator.mutualSlowdown(2, 1, START)).isCloseTo(expected, within(1e-9));
		assertThat(this.estimator.mutualSlowdown(1, 3, START)).isZero();
	}

	@ParameterizedTest
	@CsvSource({ "0, 0.2", "10, 0.1", "20, 0.05", "100, 0.0001953125", "-1, 0.2" })
	void halvesAfterEachHalfLife(int minutes, double expected) {
		this.estimator.observe(1, 2, 2, START);
		assertThat(this.estimator.mutualSlowdown(1, 2, START.plus(Duration.ofMinutes(minutes)))).isCloseTo(expected,
				within(1e-9));
	}

	@Test
	void decreasesWithReportsWithoutSlowdown() {
		this.estimator.observe(1, 2, 2, START);
		this.estimator.observe(1, 2, 1, START);
		assertThat(this.estimator.mutualSlowdown(1, 2, START)).isCloseTo(0.16, within(1e-9));
	}

	@ParameterizedTest
	@CsvSource({ "NaN", "Infinity" })
	void keepsItsEstimateWhenAReportIsInvalid(double slowdown) {
		this.estimator.observe(1, 2, 2, START);
		this.estimator.observe(1, 2, slowdown, START);
		assertThat(this.estimator.mutualSlowdown(1, 2, START)).isCloseTo(0.2, within(1e-9));
	}

	@Test
	void keepsTheLimitOnPairsAndReplacesDecayedOnes() {
		this.estimator.observe(1, 2, 2, START);
		this.estimator.observe(1, 3, 2, START);
		this.estimator.observe(1, 4, 2, START);
		assertThat(this.estimator.size()).isEqualTo(2);
		assertThat(this.estimator.mutualSlowdown(1, 4, START)).isZero();
		MonotonicTime later = START.plus(HALF_LIFE.multipliedBy(3));
		this.estimator.observe(1, 4, 2, later);
		assertThat(this.estimator.size()).isEqualTo(1);
		assertThat(this.estimator.mutualSlowdown(1, 4, later)).isCloseTo(0.2, within(1e-9));
	}

}
