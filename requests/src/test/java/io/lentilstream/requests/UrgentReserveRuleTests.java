package io.lentilstream.requests;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a limit of non-urgent slots that follows a rise of urgent demand too
 * late or oscillates with its random variation.
 */
class UrgentReserveRuleTests {

	private static final int SLOTS = 100;

	private static final long MILLI = 1_000_000;

	@Test
	void followsAFourfoldRiseWithinTwoSeconds() {
		UrgentReserveRule rule = new UrgentReserveRule();
		int previous = SLOTS;
		for (long millis = 0; millis <= 3_000; millis += 10) {
			rule.observeDemand(millis * MILLI, (int) (10 + 30 * Math.min(1, millis / 2_000.0)));
			assertThat(rule.nonUrgentLimit(SLOTS)).as("limit during the rise").isLessThanOrEqualTo(previous);
			previous = rule.nonUrgentLimit(SLOTS);
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
			rule.observeDemand(millis * MILLI, 20 + random.nextInt(-10, 11));
			if (millis > 2_000) {
				lowest = Math.min(lowest, rule.nonUrgentLimit(SLOTS));
				highest = Math.max(highest, rule.nonUrgentLimit(SLOTS));
			}
		}
		assertThat(highest - lowest).as("swing of the limit for a demand of 10 to 30").isLessThanOrEqualTo(6);
	}

	@Test
	void keepsAShareForBatchUnderAnyUrgentDemand() {
		UrgentReserveRule rule = new UrgentReserveRule();
		rule.observeDemand(0, 10 * SLOTS);
		assertThat(rule.nonUrgentLimit(SLOTS)).isEqualTo(5);
		assertThat(rule.nonUrgentLimit(1)).isEqualTo(1);
		assertThat(rule.nonUrgentLimit(0)).isZero();
	}

}
