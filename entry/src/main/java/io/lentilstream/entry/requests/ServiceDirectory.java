package io.lentilstream.entry.requests;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import io.lentilstream.requests.ServiceKey;
import io.lentilstream.requests.ServicePolicy;

/**
 * Holds the services of the settings in force.
 */
public final class ServiceDirectory {

	private final AtomicReference<Map<ServiceKey, Entry>> entries = new AtomicReference<>(Map.of());

	/**
	 * Replaces all services at once.
	 * @param services the services of the settings in force
	 */
	public void replace(Map<ServiceKey, Entry> services) {
		this.entries.set(Map.copyOf(services));
	}

	/**
	 * Finds a service.
	 * @param service the team and service
	 * @return the service, if the settings name it
	 */
	public Optional<Entry> find(ServiceKey service) {
		return Optional.ofNullable(this.entries.get().get(service));
	}

	/**
	 * Is a service as the routes need it.
	 *
	 * @param policy the policy for decisions
	 * @param defaultTimeoutMillis milliseconds until the deadline of a request that asks
	 * for none
	 */
	public record Entry(ServicePolicy policy, long defaultTimeoutMillis) {
	}

}
