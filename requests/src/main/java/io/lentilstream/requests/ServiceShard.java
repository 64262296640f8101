package io.lentilstream.requests;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;

/**
 * Holds the requests and endpoints of one pool under one lock.
 */
final class ServiceShard {

	private static final Comparator<Pending> ORDER = Comparator.<Pending, Integer>comparing((p) -> urgency(p))
		.thenComparing((p) -> p.request.deadline())
		.thenComparing((p) -> p.request.id());

	private final ServiceKey key;

	private final Consumer<RequestId> forget;

	private final Map<EndpointId, OwnedEndpoint> endpoints = new LinkedHashMap<>();

	private final Map<EndpointId, Integer> inFlight = new HashMap<>();

	private final Map<RequestId, Pending> requests = new HashMap<>();

	private final TreeSet<Pending> queue = new TreeSet<>(ORDER);

	private long dispatched;

	private long delivered;

	private long refused;

	private long unknown;

	private long discarded;

	ServiceShard(ServiceKey key, RequestDefaults defaults, RandomGenerator random, Consumer<RequestId> forget) {
		this.key = key;
		this.forget = forget;
	}

	synchronized List<RequestAction> updatePolicy(MonotonicTime now, ServicePolicy policy) {
		return List.of();
	}

	synchronized List<RequestAction> updateEndpoints(MonotonicTime now, List<OwnedEndpoint> owned) {
		this.endpoints.clear();
		owned.forEach((endpoint) -> this.endpoints.put(endpoint.id(), endpoint));
		return dispatchQueued(now);
	}

	synchronized List<RequestAction> updatePeers(MonotonicTime now, List<PeerReport> reports) {
		return List.of();
	}

	synchronized List<RequestAction> offer(MonotonicTime now, IncomingRequest request, ServicePolicy policy) {
		Pending pending = new Pending(request);
		this.requests.put(request.id(), pending);
		this.queue.add(pending);
		return dispatchQueued(now);
	}

	synchronized List<RequestAction> completed(MonotonicTime now, RequestId id, AttemptResult result) {
		Pending pending = this.requests.get(id);
		if (pending == null || pending.endpoint == null || result.attempt() != pending.attempt) {
			this.discarded++;
			return List.of();
		}
		this.inFlight.merge(pending.endpoint, -1, Integer::sum);
		pending.endpoint = null;
		List<RequestAction> actions = new ArrayList<>();
		if (result instanceof AttemptResult.Answered) {
			this.delivered++;
			actions.add(new RequestAction.Deliver(id, result.attempt()));
		}
		else if (result instanceof AttemptResult.Broken) {
			this.unknown++;
			actions.add(new RequestAction.ReportUnknown(id, new RequestOutcome.Unknown(id)));
		}
		else {
			actions.add(refuse(id, NotRunReason.REFUSED_BY_ENDPOINTS));
		}
		remove(id);
		actions.addAll(dispatchQueued(now));
		return actions;
	}

	synchronized List<RequestAction> cancelled(MonotonicTime now, RequestId id) {
		Pending pending = this.requests.get(id);
		if (pending != null && this.queue.remove(pending)) {
			remove(id);
		}
		return List.of();
	}

	synchronized List<RequestAction> tick(MonotonicTime now) {
		return dispatchQueued(now);
	}

	synchronized List<RequestAction> drain(MonotonicTime now) {
		List<RequestAction> actions = new ArrayList<>();
		for (Pending pending : this.queue) {
			actions.add(refuse(pending.request.id(), NotRunReason.SHUTTING_DOWN));
			remove(pending.request.id());
		}
		this.queue.clear();
		return actions;
	}

	synchronized Optional<MonotonicTime> nextWakeUp() {
		return this.queue.stream().map((pending) -> pending.request.deadline()).min(MonotonicTime::compareTo);
	}

	synchronized ServiceSnapshot snapshot(MonotonicTime now) {
		int slots = this.endpoints.values().stream().mapToInt(OwnedEndpoint::slots).sum();
		int used = this.inFlight.values().stream().mapToInt(Integer::intValue).sum();
		return new ServiceSnapshot(this.key, slots, Math.max(0, slots - used), used, 0, this.queue.size(),
				Duration.ZERO, this.dispatched, 0, this.delivered, this.refused, this.unknown, 0, 0, this.discarded);
	}

	synchronized Map<EndpointId, Integer> inFlightByEndpoint() {
		return Map.copyOf(this.inFlight);
	}

	private List<RequestAction> dispatchQueued(MonotonicTime now) {
		List<RequestAction> actions = new ArrayList<>();
		Iterator<Pending> waiting = this.queue.iterator();
		while (waiting.hasNext()) {
			Pending pending = waiting.next();
			if (!now.isBefore(pending.request.deadline())) {
				waiting.remove();
				actions.add(refuse(pending.request.id(), NotRunReason.DEADLINE_PASSED));
				remove(pending.request.id());
				continue;
			}
			Optional<OwnedEndpoint> free = this.endpoints.values().stream().filter(this::hasFreeSlot).findFirst();
			if (free.isEmpty()) {
				return actions;
			}
			waiting.remove();
			pending.endpoint = free.get().id();
			pending.attempt++;
			this.inFlight.merge(pending.endpoint, 1, Integer::sum);
			this.dispatched++;
			actions.add(new RequestAction.Dispatch(pending.request.id(), pending.attempt, pending.endpoint,
					pending.request.deadline()));
		}
		return actions;
	}

	private boolean hasFreeSlot(OwnedEndpoint endpoint) {
		int limit = Math.min(endpoint.slots(), endpoint.connections());
		return !endpoint.leaving() && endpoint.baselineInFlight().isPresent()
				&& this.inFlight.getOrDefault(endpoint.id(), 0) + endpoint.baselineInFlight().getAsInt() < limit;
	}

	private RequestAction refuse(RequestId id, NotRunReason reason) {
		this.refused++;
		return new RequestAction.Refuse(id, new RequestOutcome.NotRun(reason, 0));
	}

	private void remove(RequestId id) {
		this.requests.remove(id);
		this.forget.accept(id);
	}

	private static int urgency(Pending pending) {
		return pending.request.urgency().ordinal();
	}

	private static final class Pending {

		private final IncomingRequest request;

		private EndpointId endpoint;

		private int attempt;

		Pending(IncomingRequest request) {
			this.request = request;
		}

	}

}
