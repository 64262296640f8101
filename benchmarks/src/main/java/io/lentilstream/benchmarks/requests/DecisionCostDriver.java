package io.lentilstream.benchmarks.requests;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.function.IntUnaryOperator;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.requests.AttemptResult;
import io.lentilstream.requests.IncomingRequest;
import io.lentilstream.requests.OwnedEndpoint;
import io.lentilstream.requests.RequestAction;
import io.lentilstream.requests.RequestDefaults;
import io.lentilstream.requests.RequestScheduler;
import io.lentilstream.requests.ServiceKey;
import io.lentilstream.requests.ServicePolicy;

/**
 * Measures the processor time of the decisions of one request (offer and result) on one
 * thread, with 8 to 512 endpoints: once with 80% of the slots in use, where the requests
 * in progress grow with the endpoints, and once with the same number of requests in
 * progress. The rounds of the sizes alternate, so that a change of the machine's speed
 * hits all sizes alike.
 */
public final class DecisionCostDriver {

	private static final ServiceKey POOL = new ServiceKey(new TeamId("team"), new ServiceName("service"));

	private static final int[] ENDPOINTS = { 8, 32, 128, 512 };

	private static final int ROUNDS = 15;

	private static final int WARM_UP_ROUNDS = 5;

	private static final int REQUESTS = 100_000;

	private static final long RUN_NANOS = 10_000_000L;

	private DecisionCostDriver() {
	}

	/**
	 * Runs the measurement.
	 * @param args not used
	 */
	public static void main(String[] args) {
		measure("80% of the slots in use", (endpoints) -> inUse(endpoints));
		measure("51 requests in progress", (endpoints) -> inUse(ENDPOINTS[0]));
	}

	private static void measure(String name, IntUnaryOperator inProgress) {
		long[][] nanos = new long[ENDPOINTS.length][ROUNDS];
		for (int round = 0; round < ROUNDS + WARM_UP_ROUNDS; round++) {
			for (int i = 0; i < ENDPOINTS.length; i++) {
				long perRequest = new Round(ENDPOINTS[i], inProgress.applyAsInt(ENDPOINTS[i]), round).run();
				if (round >= WARM_UP_ROUNDS) {
					nanos[i][round - WARM_UP_ROUNDS] = perRequest;
				}
			}
		}
		System.out.println(name);
		for (int i = 0; i < ENDPOINTS.length; i++) {
			Arrays.sort(nanos[i]);
			System.out.printf("%4d endpoints: median of %d rounds %d ns per request, %.2fx of %d endpoints%n",
					ENDPOINTS[i], ROUNDS, nanos[i][ROUNDS / 2], (double) nanos[i][ROUNDS / 2] / nanos[0][ROUNDS / 2],
					ENDPOINTS[0]);
		}
	}

	private static int inUse(int endpoints) {
		return endpoints * Topology.SLOTS * 4 / 5;
	}

	/**
	 * Is one round with a new scheduler.
	 */
	private static final class Round {

		private final RequestScheduler scheduler;

		private final RequestId[] running;

		private long now = 1;

		private int next;

		Round(int endpoints, int inProgress, int seed) {
			this.scheduler = new RequestScheduler(RequestDefaults.defaults(), () -> new SplittableRandom(seed));
			this.scheduler.updatePolicies(time(),
					List.of(ServicePolicy.of(POOL, Urgency.URGENT, Duration.ofMillis(10))));
			List<OwnedEndpoint> owned = new ArrayList<>();
			for (int i = 0; i < endpoints; i++) {
				owned.add(new OwnedEndpoint(new EndpointId("e" + i), POOL, Topology.SLOTS, Topology.CONNECTIONS, false,
						OptionalInt.of(0)));
			}
			this.scheduler.updateEndpoints(time(), owned);
			this.running = new RequestId[inProgress];
			for (int i = 0; i < this.running.length; i++) {
				this.running[i] = offer();
			}
		}

		long run() {
			long start = System.nanoTime();
			for (int i = 0; i < REQUESTS; i++) {
				this.now += RUN_NANOS / this.running.length;
				int index = i % this.running.length;
				this.scheduler.attemptCompleted(time(), this.running[index],
						new AttemptResult.Answered(1, false, RUN_NANOS));
				this.running[index] = offer();
			}
			return (System.nanoTime() - start) / REQUESTS;
		}

		private RequestId offer() {
			RequestId id = new RequestId(Integer.toString(this.next++));
			List<RequestAction> actions = this.scheduler.offer(time(),
					new IncomingRequest(id, POOL, Urgency.URGENT, time().plusMillis(60_000), true, false, 0));
			if (actions.size() != 1 || !(actions.get(0) instanceof RequestAction.Dispatch)) {
				throw new IllegalStateException("request was not dispatched at once");
			}
			return id;
		}

		private MonotonicTime time() {
			return new MonotonicTime(this.now);
		}

	}

}
