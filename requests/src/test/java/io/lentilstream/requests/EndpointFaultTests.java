package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.function.IntUnaryOperator;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against dispatching to endpoints that are leaving, full, slow or failing, and
 * against endpoints that get no work after they have recovered.
 */
class EndpointFaultTests {

	private static final EndpointId FIRST = SchedulerFixture.endpoint(1);

	private static final long NORMAL_MILLIS = 10;

	private SchedulerFixture fixture = new SchedulerFixture().withEndpoints(4, 4, 8);

	private int next;

	@Test
	void dispatchesNothingToAnEndpointThatIsListedAsLeaving() {
		this.fixture.setLeaving(1, true);
		assertThat(shareOfFirst(40, NORMAL_MILLIS)).isZero();
		this.fixture.setLeaving(1, false);
		assertThat(shareOfFirst(40, NORMAL_MILLIS)).isPositive();
	}

	@Test
	void dispatchesNothingToAnEndpointThatRefusedAsLeavingWhileTheListLags() {
		while (!dispatchedToFirst(this.next)) {
			this.fixture.answerAttempt(this.next++, 1, NORMAL_MILLIS);
		}
		this.fixture.completeAttempt(this.next, new AttemptResult.Refused(1, true));
		this.fixture.answerAttempt(this.next++, 2, NORMAL_MILLIS);
		this.fixture.updateEndpoints();
		assertThat(shareOfFirst(40, NORMAL_MILLIS)).isZero();
		this.fixture.advance(RequestDefaults.defaults().leavingExclusion().toMillis());
		assertThat(inFlightAtFirstOf(8)).as("probe after the exclusion").isEqualTo(1);
	}

	@Test
	void dispatchesNothingToAnEndpointThatRefusedAsLeavingAfterItsAttemptBroke() {
		while (!dispatchedToFirst(this.next)) {
			this.fixture.answerAttempt(this.next++, 1, NORMAL_MILLIS);
		}
		this.fixture.completeAttempt(this.next, new AttemptResult.Broken(1));
		this.fixture.completeAttempt(this.next++, new AttemptResult.Refused(1, true));
		assertThat(shareOfFirst(40, NORMAL_MILLIS)).isZero();
	}

	static Stream<Arguments> faults() {
		return Stream.of(
				Arguments.of("five times slower",
						(Function<Integer, AttemptResult>) (attempt) -> new AttemptResult.Answered(attempt, false,
								5 * NORMAL_MILLIS * 1_000_000)),
				Arguments.of("breaks", (Function<Integer, AttemptResult>) AttemptResult.Broken::new),
				Arguments.of("does not connect", (Function<Integer, AttemptResult>) AttemptResult.NotSent::new),
				Arguments.of("fails fast",
						(Function<Integer, AttemptResult>) (attempt) -> new AttemptResult.Answered(attempt, true,
								100_000)));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faults")
	void reducesThenStopsThenProbesThenRestoresAFaultyEndpoint(String name, Function<Integer, AttemptResult> fault) {
		boolean reduced = false;
		while (this.fixture.snapshot().slots() > 12) {
			roundWith(fault);
			reduced |= this.fixture.snapshot().slots() == 13;
			assertThat(this.next).as("requests until the endpoint is stopped").isLessThan(2_000);
		}
		assertThat(reduced).as("less work before none").isTrue();
		assertThat(shareOfFirst(40, NORMAL_MILLIS)).as("work while stopped").isZero();
		this.fixture.advance(EndpointHealth.FIRST_PROBE_NANOS / 1_000_000);
		this.fixture.advance(2_000);
		assertThat(inFlightAtFirstOf(10)).as("probes at once").isEqualTo(1);
		roundWith((attempt) -> new AttemptResult.Answered(attempt, false, NORMAL_MILLIS * 1_000_000));
		for (int i = 0; i < 40; i++) {
			shareOfFirst(12, NORMAL_MILLIS);
		}
		assertThat(this.fixture.snapshot().slots()).as("slots after the recovery").isEqualTo(16);
	}

	@Test
	void waitsLongerForTheNextProbeWhenAProbeFails() {
		while (this.fixture.snapshot().slots() > 12) {
			roundWith(AttemptResult.Broken::new);
		}
		this.fixture.advance(EndpointHealth.FIRST_PROBE_NANOS / 1_000_000 + 2_000);
		roundWith(AttemptResult.Broken::new);
		this.fixture.advance(EndpointHealth.FIRST_PROBE_NANOS / 1_000_000 + 500);
		assertThat(inFlightAtFirstOf(10)).isZero();
		this.fixture.advance(EndpointHealth.FIRST_PROBE_NANOS / 1_000_000);
		assertThat(inFlightAtFirstOf(10)).isEqualTo(1);
	}

	@Test
	void stopsNoEndpointWhenTheWholePoolIsSlower() {
		shareOfFirst(200, NORMAL_MILLIS);
		for (int i = 0; i < 200; i++) {
			shareOfFirst(4, 5 * NORMAL_MILLIS);
			assertThat(this.fixture.snapshot().slots()).as("usable slots").isGreaterThanOrEqualTo(8);
		}
		assertThat(this.fixture.snapshot().slots()).isEqualTo(16);
	}

	@Test
	void doesNotStopAnEndpointForOneStraggler() {
		shareOfFirst(100, NORMAL_MILLIS);
		this.fixture.offer(this.next, Urgency.URGENT, 10_000, true);
		this.fixture.advance(50 * NORMAL_MILLIS);
		this.fixture.answerAttempt(this.next++, 1, 50 * NORMAL_MILLIS);
		assertThat(this.fixture.snapshot().slots()).isEqualTo(16);
	}

	static Stream<Arguments> baselines() {
		return Stream.of(Arguments.of("not known", OptionalInt.empty(), 0), Arguments.of("idle", OptionalInt.of(0), 4),
				Arguments.of("partly in use", OptionalInt.of(3), 1), Arguments.of("in use", OptionalInt.of(4), 0));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("baselines")
	void countsTheRequestsOfEarlierOwners(String name, OptionalInt inherited, int dispatched) {
		this.fixture = new SchedulerFixture();
		this.fixture.endpoints.put(FIRST, new OwnedEndpoint(FIRST, SchedulerFixture.SERVICE, 4, 8, false, inherited));
		this.fixture.withPolicy(this.fixture.policy);
		this.fixture.updateEndpoints();
		this.fixture.offerUrgentRequests(0, 6);
		assertThat(this.fixture.snapshot().dispatched()).isEqualTo(dispatched);
	}

	@Test
	void doesNotCountTheSameBaselineAgainOnEachUpdate() {
		this.fixture.endpoints.replaceAll(
				(id, endpoint) -> new OwnedEndpoint(id, SchedulerFixture.SERVICE, 4, 8, false, OptionalInt.of(4)));
		this.fixture.updateEndpoints();
		this.fixture.advance(RequestDefaults.defaults().inheritedSlotTimeout().toMillis() - 1);
		this.fixture.scheduler.updateEndpoints(this.fixture.now, this.fixture.endpoints.values());
		assertThat(this.fixture.snapshot().freeSlots()).isZero();
		this.fixture.advance(1);
		assertThat(this.fixture.snapshot().freeSlots()).isEqualTo(16);
	}

	@Test
	void letsAttemptsFinishAtAnEndpointThatIsNoLongerOwned() {
		this.fixture.offerUrgent(1);
		this.fixture.endpoints.clear();
		this.fixture.updateEndpoints();
		assertThat(this.fixture.answerAttempt(1, 1, NORMAL_MILLIS)).hasSize(1);
		assertThat(this.fixture.scheduler.inFlightByEndpoint()).isEmpty();
	}

	@Test
	void doesNotCountAnEndpointTwiceThatReturnsWhileItIsPaused() {
		this.fixture = new SchedulerFixture().withEndpoints(1, 1, 1);
		this.fixture.offerUrgent(1);
		this.fixture.completeAttempt(1, new AttemptResult.Refused(1, false));
		OwnedEndpoint entry = this.fixture.endpoints.remove(FIRST);
		this.fixture.updateEndpoints();
		this.fixture.endpoints.put(FIRST, entry);
		this.fixture.updateEndpoints();
		this.fixture.advance(5);
		this.fixture.updateEndpoints();
		this.fixture.offerUrgentRequests(10, 3);
		assertThat(this.fixture.snapshot().slots()).isEqualTo(1);
	}

	static Stream<Arguments> counts() {
		return Stream.of(Arguments.of("idle after the attempts broke", 1, 0, 0),
				Arguments.of("one may still run", 1, 1, 1),
				Arguments.of("queried before the attempts broke", -1, 0, 2));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("counts")
	void releasesSlotsOfBrokenAttemptsByTheCountOfTheEndpoint(String name, long queriedAfterMillis, int count,
			int occupied) {
		this.fixture = new SchedulerFixture().withEndpoints(1, 3, 3);
		for (int i = 0; i < 3; i++) {
			this.fixture.offer(i, Urgency.URGENT, 60_000, false);
		}
		this.fixture.completeAttempt(0, new AttemptResult.Broken(1));
		this.fixture.completeAttempt(1, new AttemptResult.Broken(1));
		this.fixture.slotHolders.clear();
		this.fixture.check(this.fixture.scheduler.updateInFlight(this.fixture.now.plusMillis(2), FIRST,
				this.fixture.now.plusMillis(queriedAfterMillis), count));
		assertThat(this.fixture.scheduler.inFlightByEndpoint().get(FIRST)).as("occupied by broken and running attempts")
			.isEqualTo(occupied + 1);
	}

	@Test
	void countsABrokenAttemptOnceHoweverOftenItIsReported() {
		this.fixture.offer(1, Urgency.URGENT, 10_000, false);
		for (int i = 0; i < 5; i++) {
			this.fixture.completeAttempt(1, new AttemptResult.Broken(1));
		}
		assertThat(this.fixture.snapshot().slots()).isEqualTo(16);
	}

	@Test
	void sendsNoProbeWhileBrokenAttemptsHoldAllSlots() {
		this.fixture = new SchedulerFixture().withEndpoints(1, 3, 3);
		for (int i = 0; i < 3; i++) {
			this.fixture.offer(i, Urgency.URGENT, 10_000, false);
		}
		for (int i = 0; i < 3; i++) {
			this.fixture.completeAttempt(i, new AttemptResult.Broken(1));
		}
		this.fixture.advance(EndpointHealth.FIRST_PROBE_NANOS / 1_000_000);
		assertThat(this.fixture.offer(10, Urgency.URGENT, 60_000, true))
			.noneMatch(RequestAction.Dispatch.class::isInstance);
		assertThat(this.fixture.advance(9_050)).as("probe when the slots are released")
			.containsExactly(new RequestAction.Dispatch(SchedulerFixture.id(10), 1, FIRST,
					this.fixture.now.plusMillis(60_000 - 9_050)));
	}

	@Test
	void startsWorkAtNewEndpointsWhileAttemptsAtLostOnesHang() {
		this.fixture.offerUrgentRequests(0, 16);
		this.fixture.endpoints.clear();
		EndpointId added = SchedulerFixture.endpoint(9);
		this.fixture.endpoints.put(added,
				new OwnedEndpoint(added, SchedulerFixture.SERVICE, 2, 2, false, OptionalInt.of(0)));
		this.fixture.updateEndpoints();
		assertThat(this.fixture.offerUrgent(20)).hasSize(1);
	}

	private boolean dispatchedToFirst(int number) {
		return this.fixture.offerUrgent(number)
			.stream()
			.anyMatch((action) -> ((RequestAction.Dispatch) action).endpoint().equals(FIRST));
	}

	/**
	 * Runs requests sequentially.
	 * @param requests the number of requests
	 * @param millis the run time of each request, in milliseconds
	 * @return the number of requests that ran at the first endpoint
	 */
	private int shareOfFirst(int requests, long millis) {
		int first = 0;
		for (int i = 0; i < requests; i++) {
			first += dispatchedToFirst(this.next) ? 1 : 0;
			this.fixture.answerAttempt(this.next++, 1, millis);
		}
		return first;
	}

	/**
	 * Runs requests concurrently.
	 * @param requests the number of requests
	 * @return the number of requests that ran concurrently at the first endpoint
	 */
	private int inFlightAtFirstOf(int requests) {
		int start = this.next;
		int first = 0;
		for (int i = 0; i < requests; i++) {
			first += dispatchedToFirst(this.next++) ? 1 : 0;
		}
		answerAll(start, (attempt) -> attempt);
		return first;
	}

	private void answerAll(int start, IntUnaryOperator attempts) {
		for (int i = start; i < this.next; i++) {
			this.fixture.answerAttempt(i, attempts.applyAsInt(1), NORMAL_MILLIS);
		}
	}

	/**
	 * Runs one request at each endpoint; the first endpoint has a fault.
	 * @param fault the result of an attempt at the first endpoint
	 */
	private void roundWith(Function<Integer, AttemptResult> fault) {
		this.fixture.advance(NORMAL_MILLIS);
		List<RequestAction> attempts = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			attempts.addAll(this.fixture.offer(this.next++, Urgency.URGENT, 200, true));
		}
		while (!attempts.isEmpty()) {
			RequestAction action = attempts.remove(0);
			if (action instanceof RequestAction.Dispatch dispatch) {
				int number = Integer.parseInt(dispatch.request().value().substring(1));
				attempts.addAll(this.fixture.completeAttempt(number,
						dispatch.endpoint().equals(FIRST) ? fault.apply(dispatch.attempt())
								: new AttemptResult.Answered(dispatch.attempt(), false, NORMAL_MILLIS * 1_000_000)));
			}
		}
	}

}
