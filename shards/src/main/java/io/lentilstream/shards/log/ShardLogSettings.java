package io.lentilstream.shards.log;

import java.time.Duration;

import io.lentilstream.clients.StoreClient;

/**
 * Holds the limits of a shard log.
 *
 * @param slots the number of slots of the ring; the same for all owners of the shard
 * @param reservedSlots slots that only epoch markers use, so that a takeover can always
 * fence the log; each takeover without a snapshot uses one
 * @param commitInterval shortest time between the starts of two commits
 * @param writesPerSecond store writes per second that the log may use on average, with
 * those of snapshots
 * @param writeBurst writes that may be saved up for a burst
 * @param retryInterval time before a failed store call is tried again
 * @param maxCommitBytes largest sum of entry bytes in one commit
 * @param maxQueuedBytes largest sum of entry bytes that wait or are being written
 * @param chunkBytes largest snapshot chunk
 */
public record ShardLogSettings(int slots, int reservedSlots, Duration commitInterval, double writesPerSecond,
		int writeBurst, Duration retryInterval, int maxCommitBytes, int maxQueuedBytes, int chunkBytes) {

	/**
	 * Bytes that a record needs besides its entries or chunk. An entry needs up to
	 * {@value #ENTRY_OVERHEAD_BYTES} more.
	 */
	static final int RECORD_OVERHEAD_BYTES = 64;

	static final int ENTRY_OVERHEAD_BYTES = 5;

	public ShardLogSettings {
		if (slots < 4 || reservedSlots < 1 || reservedSlots > slots / 2) {
			throw new IllegalArgumentException("slots below 4 or reserved slots not in 1 to half of the slots");
		}
		int limit = StoreClient.MAX_VALUE_BYTES - RECORD_OVERHEAD_BYTES;
		if (maxCommitBytes > limit || chunkBytes < 1 || chunkBytes > limit) {
			throw new IllegalArgumentException("commit or chunk above the largest value of the store");
		}
		if (writesPerSecond <= 0 || writeBurst < 1) {
			throw new IllegalArgumentException("no writes allowed");
		}
	}

	/**
	 * Returns the default limits. At the design size 91 owners with 3 writes/s make 273
	 * writes/s of the several hundred that the store allows. The commit limit keeps the
	 * whole ring below what one list can return within the takeover target.
	 * @return the defaults
	 */
	public static ShardLogSettings defaults() {
		return new ShardLogSettings(512, 32, Duration.ofMillis(20), 3, 30, Duration.ofMillis(100), 256 * 1024,
				8 * 1024 * 1024, 900_000);
	}

}
