package io.lentilstream.requests;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests with no or two final actions, and against dispatching to an
 * endpoint without a free slot.
 */
class RequestSchedulerTests {

	private static final ServiceKey SERVICE = new ServiceKey(new TeamId("team"), new ServiceName("service"));

	private static final EndpointId ENDPOINT = new EndpointId("endpoint-1");

	private static final MonotonicTime START = MonotonicTime.ofMillis(1_000);

	private final RequestScheduler scheduler = new RequestScheduler(RequestDefaults.defaults(),
			() -> new SplittableRandom(1));

	@BeforeEach
	void addServiceWithOneSlot() {
		this.scheduler.updatePolicies(START, List.of(ServicePolicy.of(SERVICE, Urgency.URGENT, Duration.ofMillis(10))));
		this.scheduler.updateEndpoints(START,
				List.of(new OwnedEndpoint(ENDPOINT, SERVICE, 1, 4, false, OptionalInt.of(0))));
	}

	@Test
	void dispatchesTheNextRequestWhenTheSlotIsFreeAgain() {
		RequestId first = new RequestId("r1");
		RequestId second = new RequestId("r2");
		assertThat(offer(first)).containsExactly(new RequestAction.Dispatch(first, 1, ENDPOINT, deadline()));
		assertThat(offer(second)).isEmpty();
		assertThat(this.scheduler.attemptCompleted(START.plusMillis(10), first,
				new AttemptResult.Answered(1, false, 10_000_000)))
			.containsExactly(new RequestAction.Deliver(first, 1),
					new RequestAction.Dispatch(second, 1, ENDPOINT, deadline()));
	}

	@Test
	void ignoresASecondAnswerOfTheSameAttempt() {
		RequestId id = new RequestId("r1");
		offer(id);
		AttemptResult answer = new AttemptResult.Answered(1, false, 10_000_000);
		assertThat(this.scheduler.attemptCompleted(START.plusMillis(10), id, answer)).hasSize(1);
		assertThat(this.scheduler.attemptCompleted(START.plusMillis(11), id, answer)).isEmpty();
		assertThat(this.scheduler.isIdle()).isTrue();
	}

	@Test
	void refusesNewRequestsAfterADrainBegan() {
		this.scheduler.drain(START);
		RequestId id = new RequestId("r1");
		assertThat(offer(id))
			.containsExactly(new RequestAction.Refuse(id, new RequestOutcome.NotRun(NotRunReason.SHUTTING_DOWN, 0)));
	}

	private List<RequestAction> offer(RequestId id) {
		return this.scheduler.offer(START,
				new IncomingRequest(id, SERVICE, Urgency.URGENT, deadline(), true, false, 0));
	}

	private static MonotonicTime deadline() {
		return START.plusMillis(1_000);
	}

}
