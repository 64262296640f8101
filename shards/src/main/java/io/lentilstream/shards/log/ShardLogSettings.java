package io.lentilstream.shards.log;

import java.time.Duration;

import io.lentilstream.clients.StoreClient;

/**
 * The limits of a shard log.
 *
 * @param slots the number of slots of the ring; the same for all owners of the shard
 * @param reservedSlots slots that are reserved for epoch markers, so that a takeover can
 * fence a full log; each takeover that is not followed by a snapshot uses one
 * @param commitInterval shortest time between the starts of two commits
 * @param writesPerSecond average number of store writes per second that the log may use,
 * including those of snapshots
 * @param writeBurst largest number of unused writes that accumulate for a burst
 * @param retryInterval delay before a failed store call is retried
 * @param maxCommitBytes maximum number of entry bytes in one commit
 * @param maxQueuedBytes maximum number of entry bytes that are queued or being written
 * @param chunkBytes maximum size of a snapshot chunk in bytes
 */
public record ShardLogSettings(int slots, int reservedSlots, Duration commitInterval, double writesPerSecond,
		int writeBurst, Duration retryInterval, int maxCommitBytes, int maxQueuedBytes, int chunkBytes) {

	/**
	 * Encoding overhead of a record besides its entries or its chunk. Each entry adds up
	 * to {@value #ENTRY_OVERHEAD_BYTES} bytes.
	 */
	static final int RECORD_OVERHEAD_BYTES = 64;

	static final int ENTRY_OVERHEAD_BYTES = 5;

	public ShardLogSettings {
		if (slots < 4 || reservedSlots < 1 || reservedSlots > slots / 2) {
			throw new IllegalArgumentException("at least 4 slots are required, with 1 to half of them reserved");
		}
		int limit = StoreClient.MAX_VALUE_BYTES - RECORD_OVERHEAD_BYTES;
		if (maxCommitBytes > limit || chunkBytes < 1 || chunkBytes > limit) {
			throw new IllegalArgumentException("commit or chunk size is not within the value size limit of the store");
		}
		if (writesPerSecond <= 0 || writeBurst < 1) {
			throw new IllegalArgumentException("writes per second and write burst must be positive");
		}
	}

	/**
	 * Returns the default limits. At the design size, 91 owners with 3 writes/s each make
	 * 273 writes/s, while the store allows several hundred. The commit size limit keeps
	 * the whole ring small enough for one list call to return it within the takeover
	 * target.
	 * @return the defaults
	 */
	public static ShardLogSettings defaults() {
		return new ShardLogSettings(512, 32, Duration.ofMillis(20), 3, 30, Duration.ofMillis(100), 256 * 1024,
				8 * 1024 * 1024, 900_000);
	}

}
