package io.lentilstream.requests;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a batch limit that follows a rise of urgent demand too late, or that
 * swings with its random variation.
 */
class UrgentReserveRuleTests {

	private static final int SLOTS = 100;

	private static final long MILLI = 1_000_000;

	@Test
	void followsAFourfoldRiseWithinTwoSeconds() {
		UrgentReserveRule rule = new UrgentReserveRule();
		int previous = SLOTS;
		for (long millis = 0; millis <= 3_000; millis += 10) {
			rule.observe(millis * MILLI, (int) (10 + 30 * Math.min(1, millis / 2_000.0)));
			assertThat(rule.quietLimit(SLOTS)).as("limit during the rise").isLessThanOrEqualTo(previous);
			previous = rule.quietLimit(SLOTS);
			if (millis == 2_000) {
				assertThat(previous).as("room for the demand at the end of the rise").isLessThanOrEqualTo(65);
			}
		}
		assertThat(previous).as("demand of 40 and one standard deviation").isEqualTo(53);
	}

	@Test
	void staysSteadyWhileSteadyDemandVaries() {
		UrgentReserveRule rule = new UrgentReserveRule();
		SplittableRandom random = new SplittableRandom(5);
		int lowest = SLOTS;
		int highest = 0;
		for (long millis = 0; millis <= 10_000; millis += 5) {
			rule.observe(millis * MILLI, 20 + random.nextInt(-10, 11));
			if (millis > 2_000) {
				lowest = Math.min(lowest, rule.quietLimit(SLOTS));
				highest = Math.max(highest, rule.quietLimit(SLOTS));
			}
		}
		assertThat(highest - lowest).as("swing of the limit for a demand of 10 to 30").isLessThanOrEqualTo(6);
	}

	@Test
	void keepsAShareForBatchWhateverTheDemand() {
		UrgentReserveRule rule = new UrgentReserveRule();
		rule.observe(0, 10 * SLOTS);
		assertThat(rule.quietLimit(SLOTS)).isEqualTo(5);
		assertThat(rule.quietLimit(1)).isEqualTo(1);
		assertThat(rule.quietLimit(0)).isZero();
	}

}
