package io.lentilstream.control.api;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.jobs.QueuePolicy;

/**
 * Is one version of the operators' configuration.
 *
 * @param version the version; versions increase
 * @param routes the routes
 */
public record Configuration(long version, List<QueueRoute> routes) {

	/**
	 * Finds the route with the longest prefix.
	 * @param host the host that the request names, perhaps with a port
	 * @param path the path of the request
	 * @return the route, or empty if there is none
	 */
	public Optional<QueueRoute> findRoute(String host, String path) {
		int colon = host.lastIndexOf(':');
		String name = ((colon > 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
		QueueRoute best = null;
		for (QueueRoute route : this.routes) {
			boolean matches = path.startsWith(route.prefix()) && route.host().equals(name);
			if (matches && (best == null || route.prefix().length() > best.prefix().length())) {
				best = route;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Returns the policies of all queues.
	 * @return the policies by the name of the queue
	 */
	public Map<String, QueuePolicy> policies() {
		Map<String, QueuePolicy> policies = new HashMap<>();
		this.routes.forEach((route) -> policies.put(route.queue(), route.policy()));
		return policies;
	}

}
