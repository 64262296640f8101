package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.MonotonicTime;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no minute has more evictions than the limit, and that a set of evictions
 * within the limit is granted at some time. Otherwise a burst could exceed the limit, or
 * a set larger than the burst would wait forever.
 */
class EvictionBudgetTests {

	private static final MonotonicTime START = MonotonicTime.ofMillis(-5_000);

	@ParameterizedTest
	@CsvSource({ "60, 1, 60", "60, 7, 56", "60, 60, 60", "5, 1, 5", "5, 3, 3", "1, 1, 1", "60, 61, 0", "0, 1, 0" })
	void allowsUpToTheBoundInAnyMinute(int perMinute, int evictions, int expected) {
		EvictionBudget budget = new EvictionBudget(perMinute, START);
		ArrayDeque<Integer> granted = new ArrayDeque<>();
		int highest = 0;
		for (int tenth = 0; tenth < 3000; tenth++) {
			// Demand pauses during the third minute, so that the budget refills.
			boolean wanted = tenth < 1200 || tenth >= 1800;
			if (wanted && budget.tryAcquire(evictions, START.plus(Duration.ofMillis(100L * tenth)))) {
				granted.add(tenth);
			}
			while (!granted.isEmpty() && tenth - granted.peekFirst() >= 600) {
				granted.removeFirst();
			}
			highest = Math.max(highest, granted.size() * evictions);
		}
		assertThat(highest).isEqualTo(expected);
	}

	@Test
	void startsEmptySoThatATakeoverDoesNotDoubleTheBound() {
		EvictionBudget budget = new EvictionBudget(60, START);
		assertThat(budget.tryAcquire(1, START)).isFalse();
		assertThat(budget.tryAcquire(1, START.plus(Duration.ofMillis(999)))).isFalse();
		assertThat(budget.tryAcquire(1, START.plus(Duration.ofSeconds(1)))).isTrue();
	}

}
