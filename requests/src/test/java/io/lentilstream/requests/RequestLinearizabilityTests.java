package io.lentilstream.requests;

import java.time.Duration;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Urgency;

/**
 * Guards against races between threads that acquire and release slots: every concurrent
 * execution must have the results of some sequential execution.
 */
@Param(name = "request", gen = IntGen.class, conf = "1:4")
public class RequestLinearizabilityTests {

	private static final MonotonicTime NOW = MonotonicTime.ofMillis(1);

	private final RequestScheduler scheduler = new RequestScheduler(RequestDefaults.defaults(),
			() -> new SplittableRandom(1));

	public RequestLinearizabilityTests() {
		ServiceKey one = SchedulerFixture.key("team-a");
		ServiceKey other = SchedulerFixture.key("team-b");
		this.scheduler.updatePolicies(NOW, List.of(ServicePolicy.of(one, Urgency.URGENT, Duration.ofMillis(10)),
				ServicePolicy.of(other, Urgency.URGENT, Duration.ofMillis(10))));
		this.scheduler.updateEndpoints(NOW,
				List.of(new OwnedEndpoint(SchedulerFixture.endpoint(1), one, 2, 2, false, OptionalInt.of(0)),
						new OwnedEndpoint(SchedulerFixture.endpoint(2), other, 1, 1, false, OptionalInt.of(0))));
	}

	@Operation
	public List<RequestAction> offer(@Param(name = "request") int request) {
		ServiceKey service = SchedulerFixture.key((request == 4) ? "team-b" : "team-a");
		return this.scheduler.offer(NOW, new IncomingRequest(SchedulerFixture.id(request), service, Urgency.URGENT,
				NOW.plusMillis(1_000), true, false, 0));
	}

	@Operation
	public List<RequestAction> answer(@Param(name = "request") int request) {
		return this.scheduler.attemptCompleted(NOW, SchedulerFixture.id(request),
				new AttemptResult.Answered(1, false, 10));
	}

	@Operation
	public List<RequestAction> cancel(@Param(name = "request") int request) {
		return this.scheduler.cancel(NOW, SchedulerFixture.id(request));
	}

	/**
	 * Returns the attempts in flight at one endpoint, because the counts of several pools
	 * are not read atomically.
	 * @return the attempts in flight
	 */
	@Operation
	public int inFlight() {
		return this.scheduler.inFlightByEndpoint().get(SchedulerFixture.endpoint(1));
	}

	@Test
	void isLinearizable() {
		new StressOptions().iterations(10)
			.invocationsPerIteration(300)
			.threads(3)
			.actorsPerThread(3)
			.check(RequestLinearizabilityTests.class);
	}

}
