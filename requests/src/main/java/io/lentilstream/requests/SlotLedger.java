package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.lentilstream.model.EndpointId;

/**
 * Counts the slots and connections in use at each endpoint of a pool and finds the least
 * loaded endpoint. An attempt holds one slot and one connection, so the smaller of both
 * numbers is the limit. Endpoints with room are kept in buckets by load; choosing one
 * does not depend on their number. Guarded by the lock of its pool.
 */
final class SlotLedger {

	/** Buckets of load; endpoints of 8 slots have one bucket for each count. */
	private static final int LEVELS = 8;

	private final Map<EndpointId, Endpoint> endpoints = new HashMap<>();

	private final List<List<Endpoint>> levels = new ArrayList<>();

	private final Set<Endpoint> probeReady = new LinkedHashSet<>();

	private int capacity;

	private int usable;

	private int free;

	private int accepting;

	private int stopped;

	SlotLedger() {
		for (int i = 0; i < LEVELS; i++) {
			this.levels.add(new ArrayList<>());
		}
	}

	Endpoint find(EndpointId id) {
		return this.endpoints.get(id);
	}

	Endpoint add(EndpointId id) {
		return this.endpoints.computeIfAbsent(id, Endpoint::new);
	}

	Collection<Endpoint> all() {
		return this.endpoints.values();
	}

	/**
	 * Applies a change to an endpoint and brings the counts up to date.
	 * @param endpoint the endpoint
	 * @param change the change
	 */
	void change(Endpoint endpoint, Runnable change) {
		count(endpoint, -1);
		change.run();
		endpoint.limit = limit(endpoint);
		count(endpoint, 1);
		move(endpoint);
		if (endpoint.health.state() != EndpointHealth.State.STOPPED || !endpoint.acceptsWork()) {
			this.probeReady.remove(endpoint);
		}
		if (!endpoint.owned && endpoint.inUse == 0) {
			// A timer may change an endpoint that was removed and added again meanwhile.
			this.endpoints.remove(endpoint.id, endpoint);
		}
	}

	/**
	 * Takes a slot of an endpoint.
	 * @param endpoint the endpoint
	 */
	void take(Endpoint endpoint) {
		if (!endpoint.hasRoom() || !endpoint.acceptsWork()) {
			throw new IllegalStateException("no slot to take at endpoint " + endpoint.id);
		}
		change(endpoint, () -> endpoint.inUse++);
	}

	/**
	 * Gives a slot of an endpoint back.
	 * @param endpoint the endpoint
	 */
	void release(Endpoint endpoint) {
		if (endpoint.inUse <= 0) {
			throw new IllegalStateException("no slot to release at endpoint " + endpoint.id);
		}
		change(endpoint, () -> endpoint.inUse--);
	}

	void markProbeReady(Endpoint endpoint) {
		if (endpoint.health.state() == EndpointHealth.State.STOPPED && endpoint.acceptsWork()) {
			this.probeReady.add(endpoint);
		}
	}

	boolean isProbeReady(Endpoint endpoint) {
		return this.probeReady.contains(endpoint);
	}

	/**
	 * Returns an endpoint that waits for its probe and has room for it.
	 * @return the endpoint, or {@code null}
	 */
	Endpoint nextProbe() {
		for (Endpoint endpoint : this.probeReady) {
			if (endpoint.hasRoom()) {
				return endpoint;
			}
		}
		return null;
	}

	/**
	 * Chooses one of the least loaded endpoints at random.
	 * @param random breaks ties
	 * @param avoided endpoints to pass over
	 * @return the endpoint, or {@code null} if none has room
	 */
	Endpoint choose(RandomGenerator random, Collection<Endpoint> avoided) {
		for (List<Endpoint> level : this.levels) {
			int size = level.size();
			if (size == 0) {
				continue;
			}
			int start = random.nextInt(size);
			int tries = Math.min(size, avoided.size() + 1);
			for (int i = 0; i < tries; i++) {
				Endpoint endpoint = level.get((start + i) % size);
				if (!avoided.contains(endpoint)) {
					return endpoint;
				}
			}
		}
		return null;
	}

	/**
	 * Returns the slots of all endpoints that accept work, whatever their health.
	 * @return slots
	 */
	int capacity() {
		return this.capacity;
	}

	/**
	 * Returns the slots that the health of the endpoints lets be used.
	 * @return slots
	 */
	int usable() {
		return this.usable;
	}

	int free() {
		return this.free;
	}

	/**
	 * Returns how many endpoints accept work, whatever their health.
	 * @return endpoints
	 */
	int accepting() {
		return this.accepting;
	}

	/**
	 * Tells whether another endpoint may be stopped for slowness. At most half of the
	 * endpoints are, since the rest would then be overloaded.
	 * @return {@code true} if one more may be stopped
	 */
	boolean mayStopAnother() {
		return 2 * (this.stopped + 1) <= this.accepting;
	}

	private static int limit(Endpoint endpoint) {
		if (!endpoint.acceptsWork() || endpoint.paused) {
			return 0;
		}
		return Math.min(endpoint.capacity, endpoint.health.limit(endpoint.capacity));
	}

	private void count(Endpoint endpoint, int sign) {
		this.usable += sign * endpoint.limit;
		this.free += sign * Math.max(0, endpoint.limit - endpoint.inUse - endpoint.baseline);
		if (endpoint.acceptsWork()) {
			this.accepting += sign;
			this.capacity += sign * endpoint.capacity;
			if (endpoint.limit < endpoint.capacity) {
				this.stopped += sign;
			}
		}
	}

	private void move(Endpoint endpoint) {
		int used = endpoint.inUse + endpoint.baseline;
		int level = (used < endpoint.limit) ? used * LEVELS / endpoint.limit : -1;
		if (level == endpoint.level) {
			return;
		}
		if (endpoint.level >= 0) {
			List<Endpoint> old = this.levels.get(endpoint.level);
			Endpoint last = old.remove(old.size() - 1);
			if (last != endpoint) {
				old.set(endpoint.position, last);
				last.position = endpoint.position;
			}
		}
		endpoint.level = level;
		if (level >= 0) {
			List<Endpoint> added = this.levels.get(level);
			endpoint.position = added.size();
			added.add(endpoint);
		}
	}

}
