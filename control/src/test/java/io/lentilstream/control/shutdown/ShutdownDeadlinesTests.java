package io.lentilstream.control.shutdown;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ShutdownDeadlinesTests {

	private static final long SIGNALLED_AT = 1000;

	@Test
	void callersMayConnectUntilThePlatformHasTakenTheProcessOutOfRotation() {
		ShutdownDeadlines deadlines = ShutdownDeadlines.of(SIGNALLED_AT, 6000);
		assertThat(deadlines.listenUntil()).isEqualTo(SIGNALLED_AT + 2600);
	}

	@ParameterizedTest
	@ValueSource(longs = { 0, 100, 500, 1000, 3000, 6000, 60_000 })
	void requestsAreAnsweredBeforeTheExitAndTheExitIsWithinTheGracePeriod(long graceMillis) {
		ShutdownDeadlines deadlines = ShutdownDeadlines.of(SIGNALLED_AT, graceMillis);
		assertThat(deadlines.listenUntil()).isBetween(SIGNALLED_AT, deadlines.answerBy());
		assertThat(deadlines.answerBy()).isLessThanOrEqualTo(deadlines.exitBy());
		assertThat(deadlines.exitBy()).isLessThanOrEqualTo(SIGNALLED_AT + graceMillis);
	}

	@Test
	void aShortGracePeriodLeavesTimeToAnswerTheLastRequests() {
		ShutdownDeadlines deadlines = ShutdownDeadlines.of(SIGNALLED_AT, 2000);
		assertThat(deadlines.answerBy() - deadlines.listenUntil()).isGreaterThanOrEqualTo(600);
	}

}
