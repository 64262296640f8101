package io.lentilstream.control.limits;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the connections that a process accepts on all of its listeners together, so that
 * descriptors are left for the store and the VMs. Beyond the bound, the connection that
 * has been silent for longest is closed. Load pattern: clients that open connections and
 * keep them. All methods must be called on the event loop.
 */
public final class ConnectionLimit {

	private final int maxConnections;

	/** The connections, the one that has been silent for longest first. */
	private final Set<Connection> connections = new LinkedHashSet<>();

	private long closed;

	/**
	 * Creates a limit.
	 * @param maxConnections the maximum number of connections
	 */
	public ConnectionLimit(int maxConnections) {
		this.maxConnections = maxConnections;
	}

	/**
	 * Adds a connection, and closes another, or this one, if there are too many.
	 * @param connection the connection
	 */
	public void opened(Connection connection) {
		this.connections.add(connection);
		if (this.connections.size() <= this.maxConnections) {
			return;
		}
		this.closed++;
		for (Connection candidate : List.copyOf(this.connections)) {
			if (candidate.closeUnlessHandling()) {
				this.connections.remove(candidate);
				return;
			}
		}
	}

	/**
	 * Takes note of bytes from a connection.
	 * @param connection the connection
	 */
	public void used(Connection connection) {
		if (this.connections.remove(connection)) {
			this.connections.add(connection);
		}
	}

	/**
	 * Removes a connection that is closed.
	 * @param connection the connection
	 */
	public void closed(Connection connection) {
		this.connections.remove(connection);
	}

	/**
	 * Returns how many connections have been closed because there were too many.
	 * @return the number since the start
	 */
	public long closedConnections() {
		return this.closed;
	}

	/**
	 * A connection that can be closed.
	 */
	@FunctionalInterface
	public interface Connection {

		/**
		 * Closes the connection unless one of its requests has been received and not
		 * answered.
		 * @return {@code false} if it stays open
		 */
		boolean closeUnlessHandling();

	}

}
