package io.lentilstream.benchmarks.slopes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.requests.AttemptResult;
import io.lentilstream.requests.IncomingRequest;
import io.lentilstream.requests.OwnedEndpoint;
import io.lentilstream.requests.RequestDefaults;
import io.lentilstream.requests.RequestScheduler;
import io.lentilstream.requests.ServiceKey;
import io.lentilstream.requests.ServicePolicy;

/**
 * Measures the processor time of the decisions of one request (offer and result) by the
 * number of endpoints, with 80% of the slots in use.
 */
final class RequestDecisionSlope implements SlopeMeasurement {

	private static final ServiceKey POOL = new ServiceKey(new TeamId("team"), new ServiceName("service"));

	private static final int SLOTS = 8;

	private static final int CONNECTIONS = 64;

	private static final long RUN_NANOS = 10_000_000L;

	private final int[] endpoints;

	private final int requests;

	private final int rounds;

	RequestDecisionSlope(int[] endpoints, int requests, int rounds) {
		this.endpoints = endpoints;
		this.requests = requests;
		this.rounds = rounds;
	}

	@Override
	public List<Slope> measure() {
		List<SlopePoint> points = new ArrayList<>();
		for (int count : this.endpoints) {
			points.add(new SlopePoint(count,
					CostMeter.median(this.rounds, () -> new Round(count).cpuNanosPerRequest(this.requests))));
		}
		return List.of(Slope.of("request-decision-cpu", "ns per request", "endpoints", points));
	}

	/**
	 * Is one round with a new scheduler.
	 */
	private static final class Round {

		private final RequestScheduler scheduler = new RequestScheduler(RequestDefaults.defaults(),
				() -> new SplittableRandom(1));

		private final RequestId[] running;

		private long nanos = 1;

		private int next;

		Round(int endpoints) {
			this.scheduler.updatePolicies(time(),
					List.of(ServicePolicy.of(POOL, Urgency.URGENT, Duration.ofMillis(10))));
			List<OwnedEndpoint> owned = new ArrayList<>();
			for (int i = 0; i < endpoints; i++) {
				owned.add(
						new OwnedEndpoint(new EndpointId("e" + i), POOL, SLOTS, CONNECTIONS, false, OptionalInt.of(0)));
			}
			this.scheduler.updateEndpoints(time(), owned);
			this.running = new RequestId[endpoints * SLOTS * 4 / 5];
			for (int i = 0; i < this.running.length; i++) {
				this.running[i] = offer();
			}
		}

		double cpuNanosPerRequest(int requests) {
			return CostMeter.cpuNanos(() -> {
				for (int i = 0; i < requests; i++) {
					this.nanos += RUN_NANOS / this.running.length;
					int index = i % this.running.length;
					this.scheduler.attemptCompleted(time(), this.running[index],
							new AttemptResult.Answered(1, false, RUN_NANOS));
					this.running[index] = offer();
				}
			}) / (double) requests;
		}

		private RequestId offer() {
			RequestId id = new RequestId(Integer.toString(this.next++));
			this.scheduler.offer(time(),
					new IncomingRequest(id, POOL, Urgency.URGENT, time().plusMillis(60_000), true, false, 0));
			return id;
		}

		private MonotonicTime time() {
			return new MonotonicTime(this.nanos);
		}

	}

}
