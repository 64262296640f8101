package io.lentilstream.requests;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that are forwarded to peers without free slots, in a loop or to
 * another zone without permission, and against requests lost by a drain or hedge.
 */
class ForwardingTests {

	private final SchedulerFixture fixture = new SchedulerFixture().withEndpoints(1, 2, 2);

	static Stream<Arguments> peers() {
		return Stream.of(Arguments.of("free slots", 1, 0, true, false, false, "Forward"),
				Arguments.of("no free slot", 0, 0, true, false, false, "none"),
				Arguments.of("stale report", 1, 2_001, true, false, false, "none"),
				Arguments.of("already forwarded", 1, 0, true, false, true, "none"),
				Arguments.of("other zone without permission", 1, 0, false, false, false, "none"),
				Arguments.of("other zone with permission", 1, 0, false, true, false, "Forward"));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("peers")
	void forwardsWaitingRequestsOnlyToAPeerWithFreeSlots(String name, int free, long ageMillis, boolean sameZone,
			boolean spill, boolean forwarded, String expected) {
		ServicePolicy base = this.fixture.policy;
		this.fixture.withPolicy(new ServicePolicy(base.service(), base.pool(), Urgency.URGENT, 1, 1, true, spill, 100,
				0.1, false, Duration.ofMillis(50)));
		this.fixture.offerUrgentRequests(0, 2);
		this.fixture.check(this.fixture.scheduler.updatePeers(this.fixture.now,
				List.of(new PeerReport(SchedulerFixture.PEER, sameZone, SchedulerFixture.SERVICE, free,
						Duration.ofSeconds(1), Duration.ofMillis(2), this.fixture.now.plusMillis(-ageMillis)))));
		List<RequestAction> actions = this.fixture.offer(5, SchedulerFixture.SERVICE, Urgency.URGENT, 1_000, true,
				forwarded);
		assertThat(actions.isEmpty() ? "none" : actions.get(0).getClass().getSimpleName()).isEqualTo(expected);
	}

	@Test
	void sendsNoMoreToAPeerThanItReportedFree() {
		this.fixture.offerUrgentRequests(0, 2);
		this.fixture.reportPeer(2, 0);
		this.fixture.offerUrgentRequests(2, 5);
		assertThat(this.fixture.snapshot().forwarded()).isEqualTo(2);
		this.fixture.reportPeer(2, 0);
		assertThat(this.fixture.snapshot().forwarded()).as("same report again").isEqualTo(2);
		this.fixture.advance(1);
		this.fixture.reportPeer(2, 0);
		assertThat(this.fixture.snapshot().forwarded()).as("waiting requests after a new report").isEqualTo(4);
	}

	@Test
	void retainsARequestThatThePeerRefused() {
		this.fixture.offerUrgentRequests(0, 2);
		this.fixture.reportPeer(2, 0);
		this.fixture.offerUrgent(5);
		assertThat(this.fixture.completeAttempt(5, new AttemptResult.Refused(1, false))).isEmpty();
		this.fixture.answerAttempt(0, 1, 10);
		assertThat(this.fixture.answerAttempt(5, 2, 10))
			.containsExactly(new RequestAction.Deliver(SchedulerFixture.id(5), 2));
	}

	@Test
	void refusesForwardedBatchWorkThatWouldWaitHereToo() {
		this.fixture.offerUrgentRequests(0, 2);
		assertThat(this.fixture.offer(5, SchedulerFixture.SERVICE, Urgency.BATCH, 60_000, true, true)).first()
			.isInstanceOf(RequestAction.Refuse.class);
	}

	@Test
	void keepsBatchWorkAfterTwoPeersRefusedIt() {
		this.fixture.offerUrgentRequests(0, 2);
		this.fixture.offer(5, Urgency.BATCH, 60_000, true);
		for (int attempt = 1; attempt <= 2; attempt++) {
			this.fixture.advance(1);
			assertThat(this.fixture.reportPeer(1, 0)).as("forwards").hasSize(1);
			this.fixture.completeAttempt(5, new AttemptResult.Refused(attempt, false));
		}
		this.fixture.advance(1);
		assertThat(this.fixture.reportPeer(1, 0)).as("third forward").isEmpty();
		assertThat(this.fixture.snapshot().queued()).isEqualTo(1);
	}

	@Test
	void forwardsEverythingWhenItOwnsNoEndpoint() {
		this.fixture.endpoints.clear();
		this.fixture.updateEndpoints();
		this.fixture.reportPeer(0, 0);
		assertThat(this.fixture.offerUrgent(1)).first().isInstanceOf(RequestAction.Forward.class);
	}

	static Stream<Arguments> drainSteps() {
		return Stream.of(Arguments.of("in flight", new int[] { 1 }, "Deliver"),
				Arguments.of("waiting, slot becomes free", new int[] { 3, 0 }, "Deliver"),
				Arguments.of("waiting, no slot becomes free", new int[] { 3 }, "Refuse"),
				Arguments.of("in flight, hangs", new int[] { 0 }, "ReportUnknown"));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("drainSteps")
	void completesEachRequestDuringADrain(String name, int[] numbers, String expected) {
		int number = numbers[0];
		this.fixture.offerUrgentRequests(0, 4);
		this.fixture.drain();
		if (numbers.length > 1) {
			this.fixture.answerAttempt(numbers[1], 1, 10);
			this.fixture.answerAttempt(1, 1, 10);
		}
		if (expected.equals("Deliver")) {
			this.fixture.answerAttempt(number, 1, 10);
		}
		this.fixture.advance(RequestDefaults.defaults().drainGrace().toMillis());
		this.fixture.advance(100_000);
		assertThat(this.fixture.finalActions.get(SchedulerFixture.id(number)).getClass().getSimpleName())
			.isEqualTo(expected);
		this.fixture.advance(1_000);
		assertThat(this.fixture.scheduler.isIdle()).isTrue();
	}

	@Test
	void retriesARefusedRequestDuringADrainButNotAfterTheGrace() {
		this.fixture.offerUrgentRequests(0, 2);
		this.fixture.drain();
		this.fixture.completeAttempt(0, new AttemptResult.Refused(1, false));
		assertThat(this.fixture.advance(5)).first().isInstanceOf(RequestAction.Dispatch.class);
		this.fixture.advance(RequestDefaults.defaults().drainGrace().toMillis());
		assertThat(this.fixture.completeAttempt(0, new AttemptResult.Refused(2, false))).first()
			.isInstanceOf(RequestAction.Refuse.class);
	}

	static Stream<Arguments> hedges() {
		return Stream.of(Arguments.of("allowed", true, true, 0, true),
				Arguments.of("not allowed", false, true, 0, false),
				Arguments.of("non-repeatable", true, false, 0, false),
				Arguments.of("one free slot of ten", true, true, 8, false));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("hedges")
	void hedgesASlowAttemptOnlyWhenItMayRunTwice(String name, boolean allowed, boolean repeatable, int others,
			boolean expected) {
		SchedulerFixture largeFixture = new SchedulerFixture();
		largeFixture
			.withPolicy(new ServicePolicy(SchedulerFixture.SERVICE, SchedulerFixture.SERVICE, Urgency.URGENT, 1, 1,
					true, false, 100, 0.1, allowed, Duration.ofMillis(10)))
			.withEndpoints(10, 1, 1);
		for (int i = 10; i < 10 + others; i++) {
			largeFixture.offer(i, Urgency.URGENT, 60_000, false);
		}
		largeFixture.offer(1, Urgency.URGENT, 1_000, repeatable);
		List<RequestAction> actions = largeFixture.advance(30);
		assertThat(actions.stream().anyMatch((action) -> action.request().equals(SchedulerFixture.id(1))))
			.isEqualTo(expected);
		if (expected) {
			assertThat(largeFixture.answerAttempt(1, 2, 10))
				.containsExactly(new RequestAction.Deliver(SchedulerFixture.id(1), 2));
			assertThat(largeFixture.answerAttempt(1, 1, 50)).as("answer of the loser").isEmpty();
			assertThat(largeFixture.scheduler.isIdle()).isTrue();
		}
	}

	@Test
	void waitsForTheHedgeWhenTheFirstAttemptBreaks() {
		SchedulerFixture largeFixture = new SchedulerFixture();
		largeFixture
			.withPolicy(new ServicePolicy(SchedulerFixture.SERVICE, SchedulerFixture.SERVICE, Urgency.URGENT, 1, 1,
					true, false, 100, 0.1, true, Duration.ofMillis(10)))
			.withEndpoints(4, 1, 1);
		largeFixture.offer(1, Urgency.URGENT, 1_000, true);
		largeFixture.advance(30);
		assertThat(largeFixture.completeAttempt(1, new AttemptResult.Broken(1))).isEmpty();
		assertThat(largeFixture.answerAttempt(1, 2, 10)).hasSize(1);
	}

}
