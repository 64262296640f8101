package io.lentilstream.entry.requests;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.lentilstream.requests.ServiceKey;
import io.lentilstream.requests.ServicePolicy;

/**
 * The services of the settings in force.
 */
public final class ServiceDirectory {

	private final AtomicReference<Map<ServiceKey, Entry>> entries = new AtomicReference<>(Map.of());

	/**
	 * Replaces all services atomically.
	 * @param services the services of the settings in force
	 */
	public void replace(Map<ServiceKey, Entry> services) {
		this.entries.set(Map.copyOf(services));
	}

	/**
	 * Finds a service.
	 * @param service the team and service
	 * @return the service, or empty if the settings contain no such service
	 */
	public Optional<Entry> find(ServiceKey service) {
		return Optional.ofNullable(this.entries.get().get(service));
	}

	/**
	 * The settings of a service that the routes use.
	 *
	 * @param policy the scheduling policy
	 * @param defaultTimeoutMillis the timeout, in milliseconds, of a request that sets no
	 * timeout of its own
	 */
	public record Entry(ServicePolicy policy, long defaultTimeoutMillis) {
	}

}
