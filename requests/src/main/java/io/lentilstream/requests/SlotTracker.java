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
 * Tracks the slots and connections in use at each endpoint of a pool and finds the least
 * loaded endpoint. An attempt occupies one slot and one connection, so the smaller of the
 * two numbers is the limit. Endpoints with free slots are kept in buckets by load, so the
 * cost of choosing one does not depend on their number. Guarded by the lock of its pool.
 */
final class SlotTracker {

	/**
	 * Number of load buckets: one for each count of used slots at an endpoint of 8 slots.
	 */
	private static final int BUCKETS = 8;

	private final Map<EndpointId, Endpoint> endpoints = new HashMap<>();

	private final List<List<Endpoint>> buckets = new ArrayList<>();

	private final Set<Endpoint> probeReady = new LinkedHashSet<>();

	private int capacity;

	private int usable;

	private int free;

	private int accepting;

	private int restricted;

	SlotTracker() {
		for (int i = 0; i < BUCKETS; i++) {
			this.buckets.add(new ArrayList<>());
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
	 * Applies a change to an endpoint and updates the totals and the load bucket.
	 * @param endpoint the endpoint
	 * @param change the change
	 */
	void update(Endpoint endpoint, Runnable change) {
		addToCounts(endpoint, -1);
		change.run();
		endpoint.limit = limitOf(endpoint);
		addToCounts(endpoint, 1);
		updateBucket(endpoint);
		if (endpoint.health.state() != EndpointHealth.State.STOPPED || !endpoint.acceptsWork()) {
			this.probeReady.remove(endpoint);
		}
		if (!endpoint.owned && endpoint.inUse == 0) {
			// A timer may update an endpoint that has since been removed and added again.
			this.endpoints.remove(endpoint.id, endpoint);
		}
	}

	/**
	 * Acquires a slot of an endpoint.
	 * @param endpoint the endpoint
	 * @throws IllegalStateException if no slot is free or the endpoint accepts no work
	 */
	void acquire(Endpoint endpoint) {
		if (!endpoint.hasFreeSlot() || !endpoint.acceptsWork()) {
			throw new IllegalStateException("no free slot at endpoint " + endpoint.id);
		}
		update(endpoint, () -> endpoint.inUse++);
	}

	/**
	 * Releases a slot of an endpoint.
	 * @param endpoint the endpoint
	 * @throws IllegalStateException if no slot is in use
	 */
	void release(Endpoint endpoint) {
		if (endpoint.inUse <= 0) {
			throw new IllegalStateException("no slot to release at endpoint " + endpoint.id);
		}
		update(endpoint, () -> endpoint.inUse--);
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
	 * Returns an endpoint whose probe is due and that has a free slot.
	 * @return the endpoint, or {@code null}
	 */
	Endpoint nextProbe() {
		for (Endpoint endpoint : this.probeReady) {
			if (endpoint.hasFreeSlot()) {
				return endpoint;
			}
		}
		return null;
	}

	/**
	 * Returns one of the least loaded endpoints at random.
	 * @param random the source of randomness
	 * @param avoided the endpoints to skip
	 * @return the endpoint, or {@code null} if none has a free slot
	 */
	Endpoint chooseLeastLoaded(RandomGenerator random, Collection<Endpoint> avoided) {
		for (List<Endpoint> bucket : this.buckets) {
			int size = bucket.size();
			if (size == 0) {
				continue;
			}
			int start = random.nextInt(size);
			int tries = Math.min(size, avoided.size() + 1);
			for (int i = 0; i < tries; i++) {
				Endpoint endpoint = bucket.get((start + i) % size);
				if (!avoided.contains(endpoint)) {
					return endpoint;
				}
			}
		}
		return null;
	}

	/**
	 * Returns the slots of all endpoints that accept work, regardless of their health.
	 * @return the number of slots
	 */
	int capacity() {
		return this.capacity;
	}

	/**
	 * Returns the slots that may be used given the health of the endpoints.
	 * @return the number of slots
	 */
	int usable() {
		return this.usable;
	}

	int free() {
		return this.free;
	}

	/**
	 * Returns the number of endpoints that accept work, regardless of their health.
	 * @return the number of endpoints
	 */
	int accepting() {
		return this.accepting;
	}

	/**
	 * Returns whether another endpoint may be restricted for slowness. At most half of
	 * the endpoints may be, to avoid overloading the others.
	 * @return {@code true} if one more may be restricted
	 */
	boolean mayRestrictAnother() {
		return 2 * (this.restricted + 1) <= this.accepting;
	}

	private static int limitOf(Endpoint endpoint) {
		if (!endpoint.acceptsWork() || endpoint.paused) {
			return 0;
		}
		return Math.min(endpoint.capacity, endpoint.health.limit(endpoint.capacity));
	}

	private void addToCounts(Endpoint endpoint, int sign) {
		this.usable += sign * endpoint.limit;
		this.free += sign * Math.max(0, endpoint.limit - endpoint.inUse - endpoint.inherited);
		if (endpoint.acceptsWork()) {
			this.accepting += sign;
			this.capacity += sign * endpoint.capacity;
			if (endpoint.limit < endpoint.capacity) {
				this.restricted += sign;
			}
		}
	}

	private void updateBucket(Endpoint endpoint) {
		int used = endpoint.inUse + endpoint.inherited;
		int bucket = (used < endpoint.limit) ? used * BUCKETS / endpoint.limit : -1;
		if (bucket == endpoint.bucket) {
			return;
		}
		if (endpoint.bucket >= 0) {
			List<Endpoint> old = this.buckets.get(endpoint.bucket);
			Endpoint last = old.remove(old.size() - 1);
			if (last != endpoint) {
				old.set(endpoint.position, last);
				last.position = endpoint.position;
			}
		}
		endpoint.bucket = bucket;
		if (bucket >= 0) {
			List<Endpoint> added = this.buckets.get(bucket);
			endpoint.position = added.size();
			added.add(endpoint);
		}
	}

}
