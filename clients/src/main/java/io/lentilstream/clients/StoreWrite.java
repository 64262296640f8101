package io.lentilstream.clients;

import java.util.Optional;

/**
 * Is a compare-and-swap on one key.
 *
 * @param key the key to write
 * @param value the new bytes, or empty to delete the key
 * @param expectedVersion the version that the key must have; {@link #ABSENT} if it must
 * not exist
 * @param lease the lease whose end deletes the key, if any
 */
public record StoreWrite(StoreKey key, Optional<byte[]> value, long expectedVersion, Optional<LeaseId> lease) {

	/**
	 * The expected version of a key that does not exist.
	 */
	public static final long ABSENT = 0;

	/**
	 * Creates a write without a lease.
	 * @param key the key to write
	 * @param value the new bytes
	 * @param expectedVersion the version that the key must have
	 * @return the write
	 */
	public static StoreWrite put(StoreKey key, byte[] value, long expectedVersion) {
		return new StoreWrite(key, Optional.of(value), expectedVersion, Optional.empty());
	}

}
