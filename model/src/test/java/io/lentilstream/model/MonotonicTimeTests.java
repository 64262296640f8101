package io.lentilstream.model;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that instants keep their order when the nanosecond counter overflows.
 */
class MonotonicTimeTests {

	@Test
	void keepsTheOrderAcrossAnOverflowOfTheCounter() {
		MonotonicTime early = new MonotonicTime(Long.MAX_VALUE - 10);
		MonotonicTime late = early.plusMillis(1);
		assertThat(early.isBefore(late)).isTrue();
		assertThat(late.isAfter(early)).isTrue();
		assertThat(early.compareTo(late)).isNegative();
		assertThat(early.millisUntil(late)).isEqualTo(1);
	}

}
