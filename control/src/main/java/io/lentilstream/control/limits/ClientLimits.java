package io.lentilstream.control.limits;

/**
 * The limits that all listeners of a process share.
 *
 * @param memory bounds the memory
 */
public record ClientLimits(ClientMemory memory) {

	/**
	 * The default bound on the memory that all clients together make a process hold, in
	 * bytes.
	 */
	public static final long DEFAULT_MEMORY_BYTES = 24L << 20;

	/**
	 * Creates the default limits.
	 * @return limits that no other process or listener shares
	 */
	public static ClientLimits withDefaults() {
		return of(DEFAULT_MEMORY_BYTES);
	}

	/**
	 * Creates limits.
	 * @param maxMemoryBytes the maximum memory of all clients, in bytes
	 * @return the limits
	 */
	public static ClientLimits of(long maxMemoryBytes) {
		return new ClientLimits(new ClientMemory(maxMemoryBytes));
	}

}
