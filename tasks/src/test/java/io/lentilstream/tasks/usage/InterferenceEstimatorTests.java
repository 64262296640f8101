package io.lentilstream.tasks.usage;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.MonotonicTime;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class InterferenceEstimatorTests {

	private static final MonotonicTime START = MonotonicTime.ofMillis(1);

	private final InterferenceEstimator estimator = new InterferenceEstimator(Duration.ofMinutes(10), 10);

	// Guards against a first slowdown of a pair that stops the shard: the new score had
	// no time from which to decay.
	@Test
	void learnsFromTheFirstSlowdownOfAPair() {
		this.estimator.observe(1, 2, 2, START);

		assertThat(this.estimator.between(1, 2, START)).isCloseTo(0.2, within(1e-9));
		assertThat(this.estimator.between(2, 1, START)).isCloseTo(0.2, within(1e-9));
	}

	// Guards against estimates that stay after the cause is gone.
	@Test
	void countsAnObservationHalfAfterTheHalfLife() {
		this.estimator.observe(1, 2, 2, START);

		assertThat(this.estimator.between(1, 2, START.plus(Duration.ofMinutes(10)))).isCloseTo(0.1, within(1e-9));
	}

}
