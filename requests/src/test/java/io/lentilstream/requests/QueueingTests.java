package io.lentilstream.requests;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are admitted although they cannot meet their deadline,
 * refused although slots are free, or dispatched in an order that violates urgency,
 * deadlines, quotas or fair shares.
 */
class QueueingTests {

	private static final ServiceKey OTHER = SchedulerFixture.key("team-b");

	private static final long RUN_MILLIS = 100;

	private final SchedulerFixture fixture = new SchedulerFixture();

	@Test
	void dispatchesUrgentWorkBeforeBatchWorkThatWaitsLonger() {
		this.fixture.withEndpoints(1, 1, 1);
		this.fixture.offerUrgent(1);
		this.fixture.offer(2, Urgency.BATCH, 60_000, true);
		this.fixture.offer(3, Urgency.DEFERRABLE, 60_000, true);
		this.fixture.offerUrgent(4);
		assertThat(order(1, 4)).containsExactly(1, 4, 3, 2);
	}

	@Test
	void dispatchesTheEarliestDeadlineFirst() {
		this.fixture.withEndpoints(1, 1, 1);
		this.fixture.offerUrgent(1);
		this.fixture.offer(2, Urgency.URGENT, 900, true);
		this.fixture.offer(3, Urgency.URGENT, 500, true);
		this.fixture.offer(4, Urgency.URGENT, 700, true);
		assertThat(order(1, 4)).containsExactly(1, 3, 4, 2);
	}

	@Test
	void lowersTheUrgencyToThatOfThePolicy() {
		this.fixture.withPolicies(this.fixture.policy, policy(OTHER, Urgency.BATCH, 1, 1, 100));
		this.fixture.withEndpoints(1, 1, 1);
		this.fixture.withPolicies(this.fixture.policy, policy(OTHER, Urgency.BATCH, 1, 1, 100));
		this.fixture.offerUrgent(1);
		this.fixture.offer(2, OTHER, Urgency.URGENT, 500, true, false);
		this.fixture.offer(3, Urgency.URGENT, 900, true);
		assertThat(order(1, 3)).containsExactly(1, 3, 2);
	}

	@Test
	void reservesSlotsForUrgentWorkWhenBatchFillsThePool() {
		this.fixture.withEndpoints(5, 8, 8);
		for (int i = 0; i < 60; i++) {
			this.fixture.offer(i, Urgency.BATCH, 60_000, true);
		}
		int urgent = 100;
		for (; this.fixture.offerUrgent(urgent).size() == 1; urgent++) {
			assertThat(urgent).isLessThan(200);
		}
		assertThat(urgent - 100).as("urgent requests that start at once").isEqualTo(2);
	}

	@Test
	void releasesTheReserveToBatchAfterAPeak() {
		this.fixture.policy = ServicePolicy.of(SchedulerFixture.SERVICE, Urgency.URGENT, Duration.ofSeconds(10));
		this.fixture.withEndpoints(5, 8, 8);
		for (int i = 0; i < 20; i++) {
			this.fixture.offerUrgent(i);
		}
		this.fixture.advance(500);
		for (int i = 0; i < 20; i++) {
			this.fixture.answerAttempt(i, 1, 500);
		}
		for (int i = 100; i < 160; i++) {
			this.fixture.offer(i, Urgency.BATCH, 60_000, true);
		}
		assertThat(this.fixture.snapshot().inFlight()).as("batch after the peak").isBetween(20, 30);
		assertThat(this.fixture.scheduler.nextWakeUp())
			.hasValueSatisfying((at) -> assertThat(this.fixture.now.millisUntil(at)).isLessThanOrEqualTo(50));
		for (int i = 0; i < 100; i++) {
			this.fixture.advance(100);
		}
		assertThat(this.fixture.snapshot().inFlight()).as("batch 10 s later").isEqualTo(38);
	}

	@Test
	void sharesSlotsBetweenTeamsByWeight() {
		this.fixture.withEndpoints(3, 4, 4);
		this.fixture.withPolicies(this.fixture.policy, policy(OTHER, Urgency.URGENT, 2, 1, 100));
		for (int i = 0; i < 20; i++) {
			this.fixture.offer(i, Urgency.URGENT, 5_000, true);
		}
		for (int i = 100; i < 120; i++) {
			this.fixture.offer(i, OTHER, Urgency.URGENT, 5_000, true, false);
		}
		for (int i = 0; i < 12; i++) {
			this.fixture.answerAttempt(i, 1, RUN_MILLIS);
		}
		assertThat(inFlightFrom(100)).as("slots of the team of weight 2").isEqualTo(8);
	}

	@Test
	void letsATeamUseTheIdleShareOfOthersUpToItsQuota() {
		this.fixture.withEndpoints(3, 4, 4);
		this.fixture.withPolicies(this.fixture.policy, policy(OTHER, Urgency.URGENT, 1, 0.5, 2));
		for (int i = 0; i < 10; i++) {
			this.fixture.offer(i, OTHER, Urgency.URGENT, 5_000, true, false);
		}
		assertThat(this.fixture.snapshot().inFlight()).isEqualTo(6);
		assertThat(refusal(9)).isEqualTo(NotRunReason.OVER_QUOTA);
		assertThat(this.fixture.offerUrgent(100)).as("other team").hasSize(1);
	}

	static Stream<Arguments> refusals() {
		return Stream.of(Arguments.of("in time after the wait", 1_000, 1, null),
				Arguments.of("wait longer than the deadline", 1_000, 40, NotRunReason.DEADLINE_TOO_CLOSE),
				Arguments.of("queue limit", 60_000, 101, NotRunReason.QUEUE_FULL),
				Arguments.of("deadline passed on arrival", 0, 1, NotRunReason.DEADLINE_PASSED));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("refusals")
	void refusesRequestsThatCannotMeetTheirDeadline(String name, long timeoutMillis, int waiting, NotRunReason reason) {
		this.fixture.withPolicy(policy(SchedulerFixture.SERVICE, Urgency.URGENT, 1, 1, 100)).withEndpoints(1, 4, 4);
		this.fixture.offerUrgentRequests(0, 4 + waiting);
		this.fixture.offer(1_000, Urgency.URGENT, timeoutMillis, true);
		assertThat(refusal(1_000)).isEqualTo(reason);
	}

	@Test
	void suggestsARetryDelayThatMatchesTheDrainTimeOfTheQueue() {
		this.fixture.withEndpoints(1, 4, 4);
		this.fixture.offerUrgentRequests(0, 404);
		this.fixture.offer(1_000, Urgency.URGENT, 500, true);
		RequestOutcome.NotRun outcome = ((RequestAction.Refuse) this.fixture.finalActions
			.get(SchedulerFixture.id(1_000))).outcome();
		assertThat(outcome.retryAfterMillis()).isBetween(500L, 1_200L);
	}

	@Test
	void refusesWaitingRequestsAtTheirDeadline() {
		this.fixture.withEndpoints(1, 1, 1);
		this.fixture.offer(1, Urgency.URGENT, 50_000, true);
		this.fixture.offer(2, Urgency.URGENT, 100, true);
		assertThat(this.fixture.scheduler.nextWakeUp())
			.hasValueSatisfying((at) -> assertThat(this.fixture.now.millisUntil(at)).isLessThanOrEqualTo(100));
		this.fixture.advance(100);
		assertThat(refusal(2)).isEqualTo(NotRunReason.DEADLINE_PASSED);
	}

	@Test
	void admitsRequestsAgainWhenTheRunTimeFallsBelowTheirDeadlines() {
		this.fixture.withEndpoints(2, 4, 4);
		for (int i = 0; i < 100; i++) {
			this.fixture.offer(i, Urgency.URGENT, 60_000, true);
			this.fixture.answerAttempt(i, 1, 5_000);
		}
		this.fixture.offer(100, Urgency.URGENT, 200, true);
		this.fixture.offer(101, Urgency.URGENT, 200, true);
		assertThat(refusal(101)).as("second request beside the trial").isEqualTo(NotRunReason.DEADLINE_TOO_CLOSE);
		this.fixture.answerAttempt(100, 1, 10);
		for (int i = 200; i < 500; i++) {
			this.fixture.offer(i, Urgency.URGENT, 200, true);
			this.fixture.answerAttempt(i, 1, 10);
		}
		this.fixture.offer(500, Urgency.URGENT, 200, true);
		assertThat(this.fixture.offer(501, Urgency.URGENT, 200, true)).hasSize(1)
			.first()
			.isInstanceOf(RequestAction.Dispatch.class);
	}

	@Test
	void dispatchesNothingOfAGroupWhoseStragglersUseUpTheirShare() {
		this.fixture.withEndpoints(1, 8, 8);
		for (int i = 0; i < 8; i++) {
			this.fixture.offer(i, Urgency.BATCH, 60_000, true);
		}
		this.fixture.advance(StragglerRule.STRAGGLER_MEDIANS * 10);
		assertThat(this.fixture.snapshot().stragglers()).isEqualTo(7);
		for (int i = 0; i < 3; i++) {
			this.fixture.answerAttempt(i, 1, 70);
		}
		assertThat(this.fixture.snapshot().inFlight()).as("four stragglers hold the share of 0.5").isEqualTo(4);
		this.fixture.answerAttempt(3, 1, 70);
		assertThat(this.fixture.snapshot().inFlight()).as("three stragglers and the waiting request").isEqualTo(4);
	}

	@Test
	void refusesRequestsOfAServiceWithoutPolicyOrEndpoint() {
		this.fixture.withPolicies(this.fixture.policy);
		this.fixture.offerUrgent(1);
		this.fixture.offer(2, OTHER, Urgency.URGENT, 100, true, false);
		assertThat(refusal(1)).isEqualTo(NotRunReason.NO_ENDPOINT);
		assertThat(refusal(2)).isEqualTo(NotRunReason.NO_ENDPOINT);
	}

	private NotRunReason refusal(int number) {
		return (this.fixture.finalActions.get(SchedulerFixture.id(number)) instanceof RequestAction.Refuse refuse)
				? refuse.outcome().reason() : null;
	}

	private List<Integer> order(int from, int to) {
		return Stream.iterate(from, (i) -> i <= to, (i) -> i + 1).map((i) -> {
			int number = Integer.parseInt(this.fixture.openAttempts.get(0).request().value().substring(1));
			this.fixture.answerAttempt(number, 1, 10);
			return number;
		}).toList();
	}

	private long inFlightFrom(int number) {
		return this.fixture.openAttempts.stream()
			.filter((action) -> Integer.parseInt(action.request().value().substring(1)) >= number)
			.count();
	}

	private static ServicePolicy policy(ServiceKey service, Urgency urgency, double weight, double quota,
			int queueLimit) {
		return new ServicePolicy(service, SchedulerFixture.SERVICE, urgency, weight, quota, true, false, queueLimit,
				0.1, false, Duration.ofMillis(RUN_MILLIS));
	}

}
