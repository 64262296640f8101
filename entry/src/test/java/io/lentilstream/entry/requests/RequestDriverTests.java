package io.lentilstream.entry.requests;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.entry.fakes.FakeEndpoints;
import io.lentilstream.entry.fakes.ManualTimers;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.requests.IncomingRequest;
import io.lentilstream.requests.OwnedEndpoint;
import io.lentilstream.requests.RequestDefaults;
import io.lentilstream.requests.RequestScheduler;
import io.lentilstream.requests.ServiceKey;
import io.lentilstream.requests.ServicePolicy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Guards against a caller that gets no outcome, two outcomes or a wrong outcome.
 */
class RequestDriverTests {

	private static final ServiceKey SERVICE = new ServiceKey(new TeamId("t"), new ServiceName("s"));

	private final ManualTimers timers = new ManualTimers();

	private final FakeEndpoints endpoints = FakeEndpoints.echoing();

	private final RequestScheduler scheduler = new RequestScheduler(RequestDefaults.defaults(), () -> new Random(7));

	private final RequestDriver driver = new RequestDriver(this.scheduler, this.endpoints, (peer, attempt, request,
			content, deadline) -> CompletableFuture.completedFuture(new ForwardOutcome.NotSent("no peer")),
			this.timers);

	RequestDriverTests() {
		this.driver.perform(this.scheduler.updatePolicies(this.timers.now(),
				List.of(ServicePolicy.of(SERVICE, Urgency.URGENT, Duration.ofMillis(10)))));
		this.driver.perform(this.scheduler.updateEndpoints(this.timers.now(), List.of(endpoint("e1"), endpoint("e2"))));
	}

	private static OwnedEndpoint endpoint(String id) {
		return new OwnedEndpoint(new EndpointId(id), SERVICE, 1, 4, false, OptionalInt.of(0));
	}

	@Test
	void deliversTheAnswerOfTheEndpoint() {
		assertThat(submit("r1", true, Optional.empty()).join())
			.isEqualTo(new RequestOutcome.Answered(200, "text/plain", "r1".getBytes()));
		assertThat(this.driver.pendingCount()).isZero();
	}

	@Test
	void retriesAtAnotherEndpointAfterAGuardRefusal() {
		AtomicInteger calls = new AtomicInteger();
		this.endpoints.setAnswers((request) -> (calls.incrementAndGet() == 1) ? new EndpointOutcome.Refused(false)
				: new EndpointOutcome.Answered(200, "text/plain", request.body()));
		assertThat(submit("r1", false, Optional.empty()).join()).isInstanceOf(RequestOutcome.Answered.class);
		assertThat(this.endpoints.sent()).extracting((request) -> request.id().value()).containsExactly("r1.1", "r1.2");
	}

	@Test
	void reportsABrokenAttemptOfANonRepeatableRequestAsUnknownWithoutSendingItAgain() {
		this.endpoints.setAnswers((request) -> new EndpointOutcome.Broken("cut"));
		assertThat(submit("r1", false, Optional.empty()).join())
			.isEqualTo(new RequestOutcome.Unknown(new RequestId("r1")));
		assertThat(this.endpoints.sent()).hasSize(1);
	}

	@Test
	void looksUpTheKeyAtTheEndpointBeforeItReportsUnknown() {
		this.endpoints.setAnswers((request) -> new EndpointOutcome.Broken("cut"));
		this.endpoints.setKeyOutcome(new KeyOutcome.Ran(201, "text/plain", "done".getBytes()));
		assertThat(submit("r1", false, Optional.of(new IdempotencyKey("k"))).join())
			.isEqualTo(new RequestOutcome.Answered(201, "text/plain", "done".getBytes()));
		assertThat(this.endpoints.sent()).hasSize(1);
	}

	@Test
	void neverReportsNotRunForASecondSubmissionOfAnIdInProgress() {
		this.endpoints.setAnswers((request) -> null);
		CompletableFuture<RequestOutcome> first = submit("r1", true, Optional.empty());
		assertThat(submit("r1", true, Optional.empty()).join()).isInstanceOf(RequestOutcome.Unknown.class);
		assertThat(first).isNotDone();
	}

	@Test
	void refusesQueuedRequestsAtTheirDeadline() {
		this.endpoints.setAnswers((request) -> null);
		submit("r1", true, Optional.empty());
		submit("r2", true, Optional.empty());
		CompletableFuture<RequestOutcome> queued = submit("r3", true, Optional.empty());
		this.timers.advance(Duration.ofMillis(1_001));
		this.driver.tick();
		assertThat(queued.join()).isInstanceOf(RequestOutcome.NotRun.class);
	}

	@Test
	void grantsASlotOnceAndReleasesItOnce() {
		Slot[] slots = new Slot[1];
		this.driver.requestSlot(request("w1", false), handler(slots));
		assertThat(slots[0]).isNotNull();
		assertThat(this.scheduler.inFlightByEndpoint().values()).containsOnlyOnce(1);
		slots[0].releaseAfter(new EndpointOutcome.Answered(200, "text/plain", new byte[0]));
		assertThat(this.scheduler.inFlightByEndpoint().values()).doesNotContain(1);
		assertThatIllegalStateException().isThrownBy(slots[0]::releaseUnused);
	}

	private static SlotHandler handler(Slot[] slots) {
		return new SlotHandler() {

			@Override
			public void granted(EndpointId endpoint, Slot slot, MonotonicTime deadline) {
				slots[0] = slot;
			}

			@Override
			public void refused(NotRunReason reason, long retryAfterMillis) {
				throw new IllegalStateException("refused: " + reason);
			}

		};
	}

	private CompletableFuture<RequestOutcome> submit(String id, boolean repeatable, Optional<IdempotencyKey> key) {
		return this.driver.submit(request(id, repeatable),
				new RequestContent("POST", "/", Map.of(), id.getBytes(), key));
	}

	private IncomingRequest request(String id, boolean repeatable) {
		return new IncomingRequest(new RequestId(id), SERVICE, Urgency.URGENT, this.timers.now().plusMillis(1_000),
				repeatable, false, 0);
	}

}
