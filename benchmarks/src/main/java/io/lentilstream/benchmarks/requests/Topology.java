package io.lentilstream.benchmarks.requests;

/**
 * Is the layout of endpoints over zones and entry VMs.
 *
 * @param endpoints endpoints in all zones
 * @param zones availability zones
 * @param entriesPerZone entry VMs in each zone
 * @param slowFromNanos the instant from which a tenth of the endpoints is slow
 */
record Topology(int endpoints, int zones, int entriesPerZone, long slowFromNanos) {

	static final int SLOTS = 8;

	static final int CONNECTIONS = 64;

	private static final int SLOW_EVERY = 10;

	private static final int SLOW_FACTOR = 5;

	int entries() {
		return this.zones * this.entriesPerZone;
	}

	int zoneOfEndpoint(int endpoint) {
		return endpoint % this.zones;
	}

	int ownerOfEndpoint(int endpoint) {
		return zoneOfEndpoint(endpoint) * this.entriesPerZone + (endpoint / this.zones) % this.entriesPerZone;
	}

	int zoneOfEntry(int entry) {
		return entry / this.entriesPerZone;
	}

	int slots() {
		return this.endpoints * SLOTS;
	}

	/**
	 * Returns the run time of a request that starts at an endpoint now.
	 * @param endpoint the endpoint
	 * @param nowNanos the instant of the start
	 * @param serviceNanos the run time at normal speed
	 * @return nanoseconds
	 */
	long runNanos(int endpoint, long nowNanos, long serviceNanos) {
		boolean slow = endpoint % SLOW_EVERY == SLOW_EVERY - 1 && nowNanos >= this.slowFromNanos;
		return slow ? SLOW_FACTOR * serviceNanos : serviceNanos;
	}

}
