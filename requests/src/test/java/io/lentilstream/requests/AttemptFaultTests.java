package io.lentilstream.requests;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against incorrect handling of attempts that end without an answer: a
 * non-repeatable request that runs twice, a false "not run", and a slot that is leaked or
 * released too early.
 */
class AttemptFaultTests {

	private static final RequestId ID = SchedulerFixture.id(1);

	private static final AttemptResult ANSWER = new AttemptResult.Answered(1, false, 10_000_000);

	private final SchedulerFixture fixture = new SchedulerFixture().withEndpoints(2, 1, 4);

	static Stream<Arguments> firstResults() {
		return Stream.of(Arguments.of("answered", true, ANSWER, "Deliver"),
				Arguments.of("server error is the endpoint's answer", true, new AttemptResult.Answered(1, true, 5),
						"Deliver"),
				Arguments.of("refused as full", true, new AttemptResult.Refused(1, false), "Dispatch"),
				Arguments.of("refused as full, non-repeatable", false, new AttemptResult.Refused(1, false), "Dispatch"),
				Arguments.of("refused as leaving", false, new AttemptResult.Refused(1, true), "Dispatch"),
				Arguments.of("broken before the first byte", true, new AttemptResult.NotSent(1), "Dispatch"),
				Arguments.of("broken before the first byte, non-repeatable", false, new AttemptResult.NotSent(1),
						"Dispatch"),
				Arguments.of("broken after the first byte", true, new AttemptResult.Broken(1), "Dispatch"),
				Arguments.of("broken after the first byte, non-repeatable", false, new AttemptResult.Broken(1),
						"ReportUnknown"));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("firstResults")
	void reactsToTheFirstResult(String name, boolean repeatable, AttemptResult result, String action) {
		RequestAction.Dispatch first = (RequestAction.Dispatch) this.fixture.offer(1, Urgency.URGENT, 1_000, repeatable)
			.get(0);
		List<RequestAction> actions = this.fixture.completeAttempt(1, result);
		assertThat(actions).hasSize(1);
		assertThat(actions.get(0).getClass().getSimpleName()).isEqualTo(action);
		if (actions.get(0) instanceof RequestAction.Dispatch second) {
			assertThat(second.endpoint()).isNotEqualTo(first.endpoint());
			assertThat(second.attempt()).isEqualTo(2);
		}
	}

	static Stream<Arguments> repeatedResults() {
		return Stream.of(Arguments.of("answers twice", ANSWER, ANSWER),
				Arguments.of("answers after it broke", new AttemptResult.Broken(1), ANSWER),
				Arguments.of("breaks after it answered", ANSWER, new AttemptResult.Broken(1)),
				Arguments.of("breaks twice", new AttemptResult.Broken(1), new AttemptResult.Broken(1)));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("repeatedResults")
	void discardsASecondResultOfTheSameAttempt(String name, AttemptResult first, AttemptResult second) {
		this.fixture.offer(1, Urgency.URGENT, 1_000, false);
		assertThat(this.fixture.completeAttempt(1, first)).hasSize(1);
		assertThat(this.fixture.completeAttempt(1, second)).isEmpty();
		this.fixture.advance(2_000);
		assertThat(this.fixture.snapshot().inFlight()).isZero();
		assertThat(this.fixture.scheduler.isIdle()).isTrue();
	}

	@Test
	void reportsUnknownAtTheDeadlineWhenTheEndpointHangs() {
		this.fixture.offerUrgent(1);
		this.fixture.advance(999);
		assertThat(this.fixture.finalActions).isEmpty();
		assertThat(this.fixture.advance(1))
			.containsExactly(new RequestAction.ReportUnknown(ID, new RequestOutcome.Unknown(ID)));
		assertThat(this.fixture.snapshot().inFlight()).as("slot of the hanging attempt").isEqualTo(1);
		this.fixture.advance(RequestDefaults.defaults().slotReleaseDelay().toMillis());
		assertThat(this.fixture.snapshot().inFlight()).isZero();
	}

	@Test
	void discardsAnAnswerThatIsLateAndFreesItsSlot() {
		this.fixture.offerUrgent(1);
		this.fixture.advance(1_000);
		assertThat(this.fixture.answerAttempt(1, 1, 1_010)).isEmpty();
		assertThat(this.fixture.snapshot().inFlight()).isZero();
		assertThat(this.fixture.snapshot().discarded()).isEqualTo(1);
	}

	@Test
	void keepsTheSlotOfABrokenAttemptUntilItsTimeout() {
		this.fixture.offer(1, Urgency.URGENT, 1_000, false);
		this.fixture.completeAttempt(1, new AttemptResult.Broken(1));
		this.fixture.offerUrgent(2);
		assertThat(this.fixture.offerUrgent(3)).noneMatch(RequestAction.Dispatch.class::isInstance);
		assertThat(this.fixture.snapshot().inFlight()).isEqualTo(2);
	}

	@Test
	void reportsNotRunAfterEveryAttemptWasRefused() {
		this.fixture.offer(1, Urgency.URGENT, 60_000, true);
		for (int attempt = 1; this.fixture.finalActions.isEmpty(); attempt++) {
			this.fixture.completeAttempt(1, new AttemptResult.Refused(attempt, false));
			this.fixture.advance(100);
		}
		assertThat(((RequestAction.Refuse) this.fixture.finalActions.get(ID)).outcome().reason())
			.isEqualTo(NotRunReason.REFUSED_BY_ENDPOINTS);
		assertThat(this.fixture.snapshot().dispatched()).isEqualTo(RetryRule.MAX_REFUSALS);
	}

	@Test
	void reportsUnknownWhenOnlyTheRetryOfABrokenAttemptIsRefused() {
		this.fixture.offer(1, Urgency.URGENT, 60_000, true);
		this.fixture.completeAttempt(1, new AttemptResult.Broken(1));
		for (int attempt = 2; this.fixture.finalActions.isEmpty(); attempt++) {
			this.fixture.completeAttempt(1, new AttemptResult.Refused(attempt, false));
			this.fixture.advance(100);
		}
		assertThat(this.fixture.finalActions.get(ID)).isInstanceOf(RequestAction.ReportUnknown.class);
	}

	@Test
	void reportsUnknownWhenTheDeadlinePassesBeforeTheRetryStarts() {
		this.fixture.offerUrgent(1);
		this.fixture.completeAttempt(1, new AttemptResult.Broken(1));
		this.fixture.completeAttempt(1, new AttemptResult.Refused(2, true));
		assertThat(this.fixture.advance(1_000))
			.containsExactly(new RequestAction.ReportUnknown(ID, new RequestOutcome.Unknown(ID)));
	}

	@Test
	void doesNotRetryDuringAnOverload() {
		this.fixture.offerUrgent(1);
		this.fixture.offerUrgent(2);
		this.fixture.offerUrgent(3);
		assertThat(this.fixture.completeAttempt(1, new AttemptResult.Broken(1)))
			.containsExactly(new RequestAction.ReportUnknown(ID, new RequestOutcome.Unknown(ID)));
	}

	@Test
	void stopsRetryingWhenTheBudgetIsUsedUp() {
		SchedulerFixture largeFixture = new SchedulerFixture().withEndpoints(100, 1, 1);
		int retried = 0;
		for (int i = 0; i < 30; i++) {
			largeFixture.offerUrgent(i);
			retried += largeFixture.completeAttempt(i, new AttemptResult.Broken(1))
				.stream()
				.anyMatch(RequestAction.Dispatch.class::isInstance) ? 1 : 0;
		}
		assertThat(retried).isBetween(10, 13);
	}

	@Test
	void keepsTheSlotOfACancelledRequestUntilItsAttemptEnds() {
		this.fixture.offerUrgent(1);
		assertThat(this.fixture.cancel(1)).isEmpty();
		assertThat(this.fixture.snapshot().inFlight()).isEqualTo(1);
		assertThat(this.fixture.answerAttempt(1, 1, 10)).isEmpty();
		assertThat(this.fixture.scheduler.isIdle()).isTrue();
	}

	@Test
	void removesACancelledRequestFromTheQueue() {
		this.fixture.offerUrgentRequests(1, 3);
		this.fixture.cancel(3);
		assertThat(this.fixture.answerAttempt(1, 1, 10)).containsExactly(new RequestAction.Deliver(ID, 1));
	}

	@Test
	void ignoresASecondRequestWithAnIdInProgress() {
		this.fixture.offerUrgent(1);
		assertThat(this.fixture.offerUrgent(1)).isEmpty();
		assertThat(this.fixture.answerAttempt(1, 1, 10)).hasSize(1);
	}

}
