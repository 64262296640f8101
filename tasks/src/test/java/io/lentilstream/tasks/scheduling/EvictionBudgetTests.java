package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.MonotonicTime;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more evictions in any minute than the bound allows, and against a set of
 * evictions within the bound that is never allowed.
 */
class EvictionBudgetTests {

	private static final MonotonicTime START = MonotonicTime.ofMillis(-5_000);

	@ParameterizedTest
	@CsvSource({ "60, 1, 60", "60, 7, 56", "60, 60, 60", "5, 1, 5", "5, 3, 3", "1, 1, 1", "60, 61, 0", "0, 1, 0" })
	void allowsUpToTheBoundInAnyMinute(int perMinute, int set, int expected) {
		EvictionBudget budget = new EvictionBudget(perMinute, START);
		ArrayDeque<Integer> taken = new ArrayDeque<>();
		int most = 0;
		for (int tenth = 0; tenth < 3000; tenth++) {
			// Demand pauses for the third minute, so that the allowance fills up.
			boolean wanted = tenth < 1200 || tenth >= 1800;
			if (wanted && budget.tryAcquire(set, START.plus(Duration.ofMillis(100L * tenth)))) {
				taken.add(tenth);
			}
			while (!taken.isEmpty() && tenth - taken.peekFirst() >= 600) {
				taken.removeFirst();
			}
			most = Math.max(most, taken.size() * set);
		}
		assertThat(most).isEqualTo(expected);
	}

	@Test
	void startsEmptySoThatATakeoverDoesNotDoubleTheBound() {
		EvictionBudget budget = new EvictionBudget(60, START);
		assertThat(budget.tryAcquire(1, START)).isFalse();
		assertThat(budget.tryAcquire(1, START.plus(Duration.ofMillis(999)))).isFalse();
		assertThat(budget.tryAcquire(1, START.plus(Duration.ofSeconds(1)))).isTrue();
	}

}
