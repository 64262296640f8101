package io.lentilstream.requests;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Drives a scheduler and checks its invariants after every event: limits of slots and
 * connections, at most one final action per request, "not run" only if no attempt can
 * have run, and no dispatch after the deadline or to a leaving endpoint.
 */
class SchedulerFixture {

	static final ServiceKey SERVICE = key("team-a");

	/**
	 * Upper bound that no test reaches; fails a test that would otherwise loop forever.
	 */
	private static final int MAX_EVENTS = 20_000;

	static final VmId PEER = new VmId("peer-1");

	final RequestScheduler scheduler = new RequestScheduler(RequestDefaults.defaults(), () -> new SplittableRandom(7));

	MonotonicTime now = MonotonicTime.ofMillis(1_000);

	ServicePolicy policy = ServicePolicy.of(SERVICE, Urgency.URGENT, Duration.ofMillis(10));

	final Map<EndpointId, OwnedEndpoint> endpoints = new HashMap<>();

	/**
	 * Attempts that occupy a slot, with the instant at which the slot is released.
	 */
	final Map<RequestAction.Dispatch, MonotonicTime> slotHolders = new HashMap<>();

	final List<RequestAction> openAttempts = new ArrayList<>();

	final Map<RequestId, RequestAction> finalActions = new HashMap<>();

	private final Set<EndpointId> listedAsLeaving = new HashSet<>();

	private final Map<EndpointId, MonotonicTime> refusedAsLeaving = new HashMap<>();

	final Set<Integer> cancelledIds = new HashSet<>();

	private int events;

	private final Map<RequestId, MonotonicTime> deadlines = new HashMap<>();

	private final Set<RequestId> mayHaveRun = new HashSet<>();

	static ServiceKey key(String team) {
		return new ServiceKey(new TeamId(team), new ServiceName("service"));
	}

	static RequestId id(int number) {
		return new RequestId("r" + number);
	}

	static EndpointId endpoint(int number) {
		return new EndpointId("e" + number);
	}

	SchedulerFixture withPolicy(ServicePolicy changed) {
		this.policy = changed;
		return withPolicies(changed);
	}

	SchedulerFixture withPolicies(ServicePolicy... changed) {
		check(this.scheduler.updatePolicies(this.now, List.of(changed)));
		return this;
	}

	SchedulerFixture withEndpoints(int count, int slots, int connections) {
		IntStream.rangeClosed(1, count)
			.forEach((i) -> this.endpoints.put(endpoint(i),
					new OwnedEndpoint(endpoint(i), SERVICE, slots, connections, false, OptionalInt.of(0))));
		check(this.scheduler.updatePolicies(this.now, List.of(this.policy)));
		updateEndpoints();
		return this;
	}

	List<RequestAction> updateEndpoints() {
		this.listedAsLeaving.clear();
		this.endpoints.values()
			.stream()
			.filter(OwnedEndpoint::leaving)
			.forEach((endpoint) -> this.listedAsLeaving.add(endpoint.id()));
		return check(this.scheduler.updateEndpoints(this.now, this.endpoints.values()));
	}

	List<RequestAction> setLeaving(int number, boolean isLeaving) {
		OwnedEndpoint old = this.endpoints.get(endpoint(number));
		this.endpoints.put(old.id(), new OwnedEndpoint(old.id(), SERVICE, old.slots(), old.connections(), isLeaving,
				old.inheritedInFlight()));
		return updateEndpoints();
	}

	List<RequestAction> reportPeer(int freeSlots, long ageMillis) {
		return check(this.scheduler.updatePeers(this.now, List.of(new PeerReport(PEER, true, SERVICE, freeSlots,
				Duration.ZERO, Duration.ofMillis(2), this.now.plusMillis(-ageMillis)))));
	}

	List<RequestAction> offer(int number, Urgency urgency, long timeoutMillis, boolean repeatable) {
		return offer(number, SERVICE, urgency, timeoutMillis, repeatable, false);
	}

	List<RequestAction> offer(int number, ServiceKey service, Urgency urgency, long timeoutMillis, boolean repeatable,
			boolean forwarded) {
		MonotonicTime deadline = this.now.plusMillis(timeoutMillis);
		this.deadlines.put(id(number), deadline);
		return check(this.scheduler.offer(this.now,
				new IncomingRequest(id(number), service, urgency, deadline, repeatable, forwarded, 0)));
	}

	/**
	 * Offers urgent requests with a distant deadline, which occupy slots until the test
	 * completes them.
	 * @param from the number of the first request
	 * @param count the number of requests
	 */
	void offerUrgentRequests(int from, int count) {
		IntStream.range(from, from + count).forEach((i) -> offer(i, Urgency.URGENT, 100_000, true));
	}

	List<RequestAction> offerUrgent(int number) {
		return offer(number, Urgency.URGENT, 1_000, true);
	}

	List<RequestAction> completeAttempt(int number, AttemptResult result) {
		RequestId id = id(number);
		boolean runs = result instanceof AttemptResult.Answered || result instanceof AttemptResult.Broken;
		if (runs && this.openAttempts.stream().anyMatch((action) -> isAttempt(action, id, result.attempt()))) {
			this.mayHaveRun.add(id);
		}
		if (result instanceof AttemptResult.Refused refused && refused.leaving()) {
			// The scheduler no longer knows the endpoint of an attempt that has released
			// its slot.
			this.slotHolders.keySet()
				.stream()
				.filter((dispatch) -> isAttempt(dispatch, id, result.attempt()))
				.forEach((dispatch) -> this.refusedAsLeaving.put(dispatch.endpoint(),
						this.now.plus(RequestDefaults.defaults().leavingExclusion())));
		}
		if (!(result instanceof AttemptResult.Broken)) {
			this.slotHolders.keySet().removeIf((action) -> isAttempt(action, id, result.attempt()));
		}
		this.openAttempts.removeIf((action) -> isAttempt(action, id, result.attempt()));
		return check(this.scheduler.attemptCompleted(this.now, id, result));
	}

	List<RequestAction> answerAttempt(int number, int attempt, long millis) {
		return completeAttempt(number, new AttemptResult.Answered(attempt, false, millis * 1_000_000));
	}

	List<RequestAction> cancel(int number) {
		return check(this.scheduler.cancel(this.now, id(number)));
	}

	List<RequestAction> drain() {
		return check(this.scheduler.drain(this.now));
	}

	List<RequestAction> advance(long millis) {
		this.now = this.now.plusMillis(millis);
		return check(this.scheduler.tick(this.now));
	}

	PoolSnapshot snapshot() {
		return this.scheduler.snapshot(this.now)
			.stream()
			.filter((snapshot) -> snapshot.service().equals(SERVICE))
			.findFirst()
			.orElseThrow();
	}

	List<RequestAction> check(List<RequestAction> actions) {
		assertThat(++this.events).as("events of a test that should have ended").isLessThan(MAX_EVENTS);
		this.slotHolders.values().removeIf((end) -> !end.isAfter(this.now));
		this.refusedAsLeaving.values().removeIf((end) -> !end.isAfter(this.now));
		for (RequestAction action : actions) {
			RequestId id = action.request();
			assertThat(this.finalActions).as("action after the final one of %s", id).doesNotContainKey(id);
			if (action instanceof RequestAction.Dispatch dispatch) {
				assertThat(this.now.isBefore(this.deadlines.get(id))).as("dispatch before the deadline").isTrue();
				assertThat(this.listedAsLeaving).as("endpoints listed as leaving").doesNotContain(dispatch.endpoint());
				assertThat(this.refusedAsLeaving).as("endpoints that refused as leaving")
					.doesNotContainKey(dispatch.endpoint());
				this.slotHolders.put(dispatch, dispatch.deadline().plus(RequestDefaults.defaults().slotReleaseDelay()));
				this.openAttempts.add(action);
			}
			else if (action instanceof RequestAction.Forward) {
				this.openAttempts.add(action);
			}
			else {
				this.finalActions.put(id, action);
				if (action instanceof RequestAction.Refuse) {
					assertThat(this.mayHaveRun).as("requests that may have run").doesNotContain(id);
					assertThat(this.openAttempts).as("open attempts").noneMatch((other) -> other.request().equals(id));
				}
			}
		}
		checkSlots();
		return actions;
	}

	private void checkSlots() {
		Map<EndpointId, Integer> used = new HashMap<>();
		this.slotHolders.keySet().forEach((dispatch) -> used.merge(dispatch.endpoint(), 1, Integer::sum));
		used.forEach((endpoint, count) -> {
			OwnedEndpoint owned = this.endpoints.get(endpoint);
			if (owned != null) {
				int inherited = owned.inheritedInFlight().orElse(0);
				assertThat(count + inherited).as("slots of %s", endpoint).isLessThanOrEqualTo(owned.slots());
				assertThat(count + inherited).as("connections of %s", endpoint)
					.isLessThanOrEqualTo(owned.connections());
			}
		});
	}

	static int attempt(RequestAction action) {
		return (action instanceof RequestAction.Dispatch dispatch) ? dispatch.attempt()
				: ((RequestAction.Forward) action).attempt();
	}

	private static boolean isAttempt(RequestAction action, RequestId id, int attempt) {
		return action.request().equals(id) && attempt(action) == attempt;
	}

}
