package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;

/**
 * Schedules urgent, deferrable and batch requests: admission, queueing, the endpoint or
 * peer of each attempt, and the final outcome for the caller. It does no I/O and reads no
 * clock; each method takes the current instant and returns the actions that the daemon
 * must perform in order. All methods are thread-safe; the state is partitioned by
 * endpoint pool, each with its own lock.
 */
public final class RequestScheduler {

	private final RequestDefaults defaults;

	private final Supplier<RandomGenerator> randoms;

	private final Map<ServiceKey, PoolScheduler> pools = new ConcurrentHashMap<>();

	private final Map<RequestId, PoolScheduler> owners = new ConcurrentHashMap<>();

	private volatile Map<ServiceKey, ServicePolicy> policies = Map.of();

	private volatile boolean draining;

	/**
	 * Creates a scheduler without policies, endpoints and peers.
	 * @param defaults the settings that apply to every service
	 * @param randoms supplies a random generator for each pool; a generator is only used
	 * under the lock of its pool
	 */
	public RequestScheduler(RequestDefaults defaults, Supplier<RandomGenerator> randoms) {
		this.defaults = Objects.requireNonNull(defaults, "defaults");
		this.randoms = Objects.requireNonNull(randoms, "randoms");
	}

	/**
	 * Replaces the policies of all services. Requests in progress keep the policy with
	 * which they were admitted.
	 * @param now the current instant
	 * @param updated the policies of all services
	 * @return the actions to perform
	 */
	public List<RequestAction> updatePolicies(MonotonicTime now, Collection<ServicePolicy> updated) {
		Map<ServiceKey, ServicePolicy> byService = new HashMap<>();
		for (ServicePolicy policy : updated) {
			byService.put(policy.service(), policy);
		}
		this.policies = Map.copyOf(byService);
		List<RequestAction> actions = new ArrayList<>();
		for (ServicePolicy policy : updated) {
			actions.addAll(pool(policy.pool()).updatePolicy(now, policy));
		}
		return actions;
	}

	/**
	 * Replaces the endpoints that this entry VM owns. An endpoint that is missing gets no
	 * new work; its attempts in flight still count and finish.
	 * @param now the current instant
	 * @param owned all endpoints that this entry VM owns now
	 * @return the actions to perform
	 */
	public List<RequestAction> updateEndpoints(MonotonicTime now, Collection<OwnedEndpoint> owned) {
		Map<ServiceKey, List<OwnedEndpoint>> byService = new HashMap<>();
		for (OwnedEndpoint endpoint : owned) {
			byService.computeIfAbsent(endpoint.service(), (key) -> new ArrayList<>()).add(endpoint);
			pool(endpoint.service());
		}
		List<RequestAction> actions = new ArrayList<>();
		this.pools
			.forEach((key, pool) -> actions.addAll(pool.updateEndpoints(now, byService.getOrDefault(key, List.of()))));
		return actions;
	}

	/**
	 * Replaces the reports of all peers.
	 * @param now the current instant
	 * @param reports the last report of each peer and service
	 * @return the actions to perform
	 */
	public List<RequestAction> updatePeers(MonotonicTime now, Collection<PeerReport> reports) {
		Map<ServiceKey, List<PeerReport>> byService = new HashMap<>();
		for (PeerReport report : reports) {
			byService.computeIfAbsent(report.service(), (key) -> new ArrayList<>()).add(report);
			pool(report.service());
		}
		List<RequestAction> actions = new ArrayList<>();
		this.pools
			.forEach((key, pool) -> actions.addAll(pool.updatePeers(now, byService.getOrDefault(key, List.of()))));
		return actions;
	}

	/**
	 * Submits a request. A request whose id is already in progress is ignored.
	 * @param now the current instant
	 * @param request the request
	 * @return the actions to perform
	 */
	public List<RequestAction> offer(MonotonicTime now, IncomingRequest request) {
		ServicePolicy policy = this.policies.get(request.service());
		if (this.draining) {
			return List.of(refusal(request.id(), NotRunReason.SHUTTING_DOWN));
		}
		if (policy == null) {
			return List.of(refusal(request.id(), NotRunReason.NO_ENDPOINT));
		}
		return pool(policy.pool()).offer(now, request, policy);
	}

	/**
	 * Records the result of an attempt. A late or duplicate result, or one for a request
	 * that already has its final action, is counted and does not affect the caller.
	 * @param now the current instant
	 * @param request the request
	 * @param result the result
	 * @return the actions to perform
	 */
	public List<RequestAction> attemptCompleted(MonotonicTime now, RequestId request, AttemptResult result) {
		PoolScheduler pool = this.owners.get(request);
		return (pool != null) ? pool.attemptCompleted(now, request, result) : List.of();
	}

	/**
	 * Cancels a request whose caller has disconnected. A queued request is dropped;
	 * attempts in flight keep their slots until their result arrives. No final action is
	 * returned for it.
	 * @param now the current instant
	 * @param request the request
	 * @return the actions to perform
	 */
	public List<RequestAction> cancel(MonotonicTime now, RequestId request) {
		PoolScheduler pool = this.owners.get(request);
		return (pool != null) ? pool.cancel(now, request) : List.of();
	}

	/**
	 * Records the number of requests in flight as reported by the endpoint. Slots of
	 * attempts that broke before the endpoint was queried, and of attempts inherited from
	 * earlier owners, are released as far as the count shows that these have ended.
	 * Without a count they stay occupied until their timeout.
	 * @param now the current instant
	 * @param endpoint the endpoint
	 * @param queriedAt the instant at which the endpoint was queried
	 * @param inFlight the requests in flight at the endpoint
	 * @return the actions to perform
	 */
	public List<RequestAction> updateInFlight(MonotonicTime now, EndpointId endpoint, MonotonicTime queriedAt,
			int inFlight) {
		List<RequestAction> actions = new ArrayList<>();
		this.pools.values().forEach((pool) -> actions.addAll(pool.updateInFlight(now, endpoint, queriedAt, inFlight)));
		return actions;
	}

	/**
	 * Runs the timers that are due. The daemon calls this method at {@link #nextWakeUp()}
	 * or later.
	 * @param now the current instant
	 * @return the actions to perform
	 */
	public List<RequestAction> tick(MonotonicTime now) {
		List<RequestAction> actions = new ArrayList<>();
		for (PoolScheduler pool : this.pools.values()) {
			if (pool.nextWakeUp().filter((at) -> !at.isAfter(now)).isPresent()) {
				actions.addAll(pool.tick(now));
			}
		}
		return actions;
	}

	/**
	 * Starts the graceful drain: new requests are refused, requests in flight finish, and
	 * queued requests finish or are refused as "not run" after the drain grace.
	 * @param now the current instant
	 * @return the actions to perform
	 */
	public List<RequestAction> drain(MonotonicTime now) {
		this.draining = true;
		List<RequestAction> actions = new ArrayList<>();
		this.pools.values().forEach((pool) -> actions.addAll(pool.drain(now)));
		return actions;
	}

	/**
	 * Returns the instant at which {@link #tick} must be called next.
	 * @return the earliest instant, or empty if nothing is due
	 */
	public Optional<MonotonicTime> nextWakeUp() {
		return this.pools.values()
			.stream()
			.map(PoolScheduler::nextWakeUp)
			.flatMap(Optional::stream)
			.min(MonotonicTime::compareTo);
	}

	/**
	 * Returns the counters of all endpoint pools, for metrics and heartbeats.
	 * @param now the current instant
	 * @return one snapshot for each pool
	 */
	public List<PoolSnapshot> snapshot(MonotonicTime now) {
		return this.pools.values().stream().map((pool) -> pool.snapshot(now)).toList();
	}

	/**
	 * Returns the attempts in flight at each endpoint, for the handover of a shard.
	 * @return the number of attempts that occupy a slot, by endpoint
	 */
	public Map<EndpointId, Integer> inFlightByEndpoint() {
		Map<EndpointId, Integer> counts = new HashMap<>();
		this.pools.values().forEach((pool) -> counts.putAll(pool.inFlightByEndpoint()));
		return counts;
	}

	/**
	 * Returns whether no request is queued and no attempt is open, so that the process
	 * may stop after a drain.
	 * @return {@code true} if nothing is in progress
	 */
	public boolean isIdle() {
		return this.owners.isEmpty();
	}

	private PoolScheduler pool(ServiceKey pool) {
		return this.pools.computeIfAbsent(pool, (key) -> new PoolScheduler(key, this.defaults, this.randoms.get(),
				(id, owner) -> this.owners.putIfAbsent(id, owner) == null, this.owners::remove));
	}

	private static RequestAction refusal(RequestId id, NotRunReason reason) {
		return new RequestAction.Refuse(id, new RequestOutcome.NotRun(reason, 0));
	}

}
