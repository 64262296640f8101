package io.lentilstream.control.limits;

/**
 * The limits that all listeners of a process share.
 *
 * @param memory bounds the memory
 * @param connections bounds the connections
 * @param decoding bounds the processor time of decoding
 */
public record ClientLimits(ClientMemory memory, ConnectionLimit connections, DecodingRateLimit decoding) {

	/**
	 * The default bound on the memory that all clients together make a process hold, in
	 * bytes.
	 */
	public static final long DEFAULT_MEMORY_BYTES = 24L << 20;

	/** The default maximum number of connections to all listeners. */
	public static final int DEFAULT_CONNECTIONS = 2000;

	/**
	 * Creates the default limits.
	 * @return limits that no other process or listener shares
	 */
	public static ClientLimits withDefaults() {
		return of(DEFAULT_MEMORY_BYTES, DEFAULT_CONNECTIONS);
	}

	/**
	 * Creates limits.
	 * @param maxMemoryBytes the maximum memory of all clients, in bytes
	 * @param maxConnections the maximum number of connections
	 * @return the limits
	 */
	public static ClientLimits of(long maxMemoryBytes, int maxConnections) {
		return new ClientLimits(new ClientMemory(maxMemoryBytes), new ConnectionLimit(maxConnections),
				new DecodingRateLimit());
	}

}
