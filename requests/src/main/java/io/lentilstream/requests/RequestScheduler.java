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
 * Decides about urgent and batch requests: which are admitted, which wait, where each
 * attempt goes and what the caller is told. It does no I/O and reads no clock; each
 * method takes the current instant and returns the actions that the daemon must carry out
 * in order. All methods may be called by several threads at once; the state is split by
 * pool of endpoints, each part under its own lock.
 */
public final class RequestScheduler {

	private final RequestDefaults defaults;

	private final Supplier<RandomGenerator> randoms;

	private final Map<ServiceKey, ServiceShard> shards = new ConcurrentHashMap<>();

	private final Map<RequestId, ServiceShard> owners = new ConcurrentHashMap<>();

	private volatile Map<ServiceKey, ServicePolicy> policies = Map.of();

	private volatile boolean draining;

	/**
	 * Creates a scheduler without policies, endpoints and peers.
	 * @param defaults the settings that apply to every service
	 * @param randoms supplies the generator of each pool; a generator is only used under
	 * the lock of its pool
	 */
	public RequestScheduler(RequestDefaults defaults, Supplier<RandomGenerator> randoms) {
		this.defaults = Objects.requireNonNull(defaults, "defaults");
		this.randoms = Objects.requireNonNull(randoms, "randoms");
	}

	/**
	 * Replaces the policies of all services. Requests in progress keep their policy.
	 * @param now the current instant
	 * @param updated the policies of all services
	 * @return the actions that follow
	 */
	public List<RequestAction> updatePolicies(MonotonicTime now, Collection<ServicePolicy> updated) {
		Map<ServiceKey, ServicePolicy> byService = new HashMap<>();
		for (ServicePolicy policy : updated) {
			byService.put(policy.service(), policy);
		}
		this.policies = Map.copyOf(byService);
		List<RequestAction> actions = new ArrayList<>();
		for (ServicePolicy policy : updated) {
			actions.addAll(shard(policy.pool()).updatePolicy(now, policy));
		}
		return actions;
	}

	/**
	 * Replaces the endpoints that this entry VM owns. An endpoint that is missing gets no
	 * new work; its attempts in flight still count and finish.
	 * @param now the current instant
	 * @param owned all endpoints that this entry VM owns now
	 * @return the actions that follow
	 */
	public List<RequestAction> updateEndpoints(MonotonicTime now, Collection<OwnedEndpoint> owned) {
		Map<ServiceKey, List<OwnedEndpoint>> byService = new HashMap<>();
		for (OwnedEndpoint endpoint : owned) {
			byService.computeIfAbsent(endpoint.service(), (key) -> new ArrayList<>()).add(endpoint);
			shard(endpoint.service());
		}
		List<RequestAction> actions = new ArrayList<>();
		this.shards.forEach(
				(key, shard) -> actions.addAll(shard.updateEndpoints(now, byService.getOrDefault(key, List.of()))));
		return actions;
	}

	/**
	 * Replaces the reports of all peers.
	 * @param now the current instant
	 * @param reports the last report of each peer and service
	 * @return the actions that follow
	 */
	public List<RequestAction> updatePeers(MonotonicTime now, Collection<PeerReport> reports) {
		Map<ServiceKey, List<PeerReport>> byService = new HashMap<>();
		for (PeerReport report : reports) {
			byService.computeIfAbsent(report.service(), (key) -> new ArrayList<>()).add(report);
			shard(report.service());
		}
		List<RequestAction> actions = new ArrayList<>();
		this.shards
			.forEach((key, shard) -> actions.addAll(shard.updatePeers(now, byService.getOrDefault(key, List.of()))));
		return actions;
	}

	/**
	 * Takes in a request. An id that is in progress already is ignored.
	 * @param now the current instant
	 * @param request the request
	 * @return the actions that follow
	 */
	public List<RequestAction> offer(MonotonicTime now, IncomingRequest request) {
		ServicePolicy policy = this.policies.get(request.service());
		if (this.draining) {
			return List.of(refusal(request.id(), NotRunReason.SHUTTING_DOWN));
		}
		if (policy == null) {
			return List.of(refusal(request.id(), NotRunReason.NO_ENDPOINT));
		}
		return shard(policy.pool()).offer(now, request, policy);
	}

	/**
	 * Takes in the result of an attempt. Results that arrive late, twice or for a request
	 * that has its final action are counted and change nothing for the caller.
	 * @param now the current instant
	 * @param request the request
	 * @param result the result
	 * @return the actions that follow
	 */
	public List<RequestAction> attemptCompleted(MonotonicTime now, RequestId request, AttemptResult result) {
		ServiceShard shard = this.owners.get(request);
		return (shard != null) ? shard.completed(now, request, result) : List.of();
	}

	/**
	 * Gives up a request whose caller went away. A waiting request is dropped; attempts
	 * in flight keep their slots until their result. No final action follows.
	 * @param now the current instant
	 * @param request the request
	 * @return the actions that follow
	 */
	public List<RequestAction> cancel(MonotonicTime now, RequestId request) {
		ServiceShard shard = this.owners.get(request);
		return (shard != null) ? shard.cancelled(now, request) : List.of();
	}

	/**
	 * Takes in the endpoint's own count of the requests that it runs. Slots of attempts
	 * that broke before the endpoint was asked, and of earlier owners, are released as
	 * far as the count shows that these requests have ended. Without a count they are
	 * held until their timeout.
	 * @param now the current instant
	 * @param endpoint the endpoint
	 * @param askedAt the instant at which the endpoint was asked
	 * @param inFlight the count
	 * @return the actions that follow
	 */
	public List<RequestAction> updateInFlight(MonotonicTime now, EndpointId endpoint, MonotonicTime askedAt,
			int inFlight) {
		List<RequestAction> actions = new ArrayList<>();
		this.shards.values()
			.forEach((shard) -> actions.addAll(shard.endpointCounted(now, endpoint, askedAt, inFlight)));
		return actions;
	}

	/**
	 * Does what is due by now. The daemon calls it at {@link #nextWakeUp()} or later.
	 * @param now the current instant
	 * @return the actions that follow
	 */
	public List<RequestAction> tick(MonotonicTime now) {
		List<RequestAction> actions = new ArrayList<>();
		for (ServiceShard shard : this.shards.values()) {
			if (shard.nextWakeUp().filter((at) -> !at.isAfter(now)).isPresent()) {
				actions.addAll(shard.tick(now));
			}
		}
		return actions;
	}

	/**
	 * Begins the graceful shutdown: new requests are refused, requests in flight finish,
	 * queued ones finish or are refused as "not run" after the drain grace.
	 * @param now the current instant
	 * @return the actions that follow
	 */
	public List<RequestAction> drain(MonotonicTime now) {
		this.draining = true;
		List<RequestAction> actions = new ArrayList<>();
		this.shards.values().forEach((shard) -> actions.addAll(shard.drain(now)));
		return actions;
	}

	/**
	 * Returns the instant at which {@link #tick} has something to do.
	 * @return the earliest instant, or empty if nothing is due
	 */
	public Optional<MonotonicTime> nextWakeUp() {
		return this.shards.values()
			.stream()
			.map(ServiceShard::nextWakeUp)
			.flatMap(Optional::stream)
			.min(MonotonicTime::compareTo);
	}

	/**
	 * Returns the counts of every pool of endpoints, for metrics and heartbeats.
	 * @param now the current instant
	 * @return the counts by team and service that owns the endpoints
	 */
	public List<PoolSnapshot> snapshot(MonotonicTime now) {
		return this.shards.values().stream().map((shard) -> shard.snapshot(now)).toList();
	}

	/**
	 * Returns the attempts in flight at each endpoint, for the handover of a shard.
	 * @return the attempts that still hold a slot, by endpoint
	 */
	public Map<EndpointId, Integer> inFlightByEndpoint() {
		Map<EndpointId, Integer> counts = new HashMap<>();
		this.shards.values().forEach((shard) -> counts.putAll(shard.inFlightByEndpoint()));
		return counts;
	}

	/**
	 * Tells whether no request waits and no attempt holds a slot, so that the process may
	 * stop after a drain.
	 * @return {@code true} if nothing is in progress
	 */
	public boolean isIdle() {
		return this.owners.isEmpty();
	}

	private ServiceShard shard(ServiceKey pool) {
		return this.shards.computeIfAbsent(pool, (key) -> new ServiceShard(key, this.defaults, this.randoms.get(),
				(id, shard) -> this.owners.putIfAbsent(id, shard) == null, this.owners::remove));
	}

	private static RequestAction refusal(RequestId id, NotRunReason reason) {
		return new RequestAction.Refuse(id, new RequestOutcome.NotRun(reason, 0));
	}

}
