package io.lentilstream.control.api;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.jobs.QueuePolicy;

/**
 * A version of the operators' configuration.
 *
 * @param version the version number, which increases with each change
 * @param routes the routes
 */
public record Configuration(long version, List<QueueRoute> routes) {

	/**
	 * Finds the route for a request: the one with the request's host and the longest
	 * prefix of its path.
	 * @param host the Host header of the request, with or without a port
	 * @param path the path of the request
	 * @return the route, or empty if none matches
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
	 * @return the policies by queue name
	 */
	public Map<String, QueuePolicy> policies() {
		Map<String, QueuePolicy> policies = new HashMap<>();
		this.routes.forEach((route) -> policies.put(route.queue(), route.policy()));
		return policies;
	}

}
