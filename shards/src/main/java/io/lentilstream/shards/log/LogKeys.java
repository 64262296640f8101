package io.lentilstream.shards.log;

import java.util.Locale;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.model.ShardId;

/**
 * The store keys of a shard log. They are outside the prefix of the ownership records, so
 * that a list of those records does not return logs.
 */
public final class LogKeys {

	private static final int GENERATIONS = 2;

	private final String prefix;

	/**
	 * Creates the keys of a shard's log.
	 * @param shard the shard
	 */
	public LogKeys(ShardId shard) {
		this.prefix = "/lentilstream/logs/" + shard.scope() + "/" + shard.index();
	}

	/**
	 * Returns the prefix of all slots of the ring.
	 * @return the prefix
	 */
	public StoreKey slotPrefix() {
		return new StoreKey(this.prefix + "/slot/");
	}

	/**
	 * Returns the key of a slot.
	 * @param slot the index of the slot in the ring
	 * @return the key
	 */
	public StoreKey slot(int slot) {
		return new StoreKey(slotPrefix().path() + String.format(Locale.ROOT, "%05d", slot));
	}

	/**
	 * Returns the key of the snapshot head.
	 * @return the key
	 */
	public StoreKey snapshotHead() {
		return new StoreKey(this.prefix + "/head");
	}

	/**
	 * Returns the prefix of all chunks of a snapshot.
	 * @param generation the generation; two generations alternate, so that a new snapshot
	 * does not overwrite the chunks of the current one
	 * @return the prefix
	 */
	public StoreKey chunkPrefix(int generation) {
		return new StoreKey(this.prefix + "/chunk/" + generation + "/");
	}

	/**
	 * Returns the key of a chunk.
	 * @param generation the generation
	 * @param index the index of the chunk
	 * @return the key
	 */
	public StoreKey chunk(int generation, int index) {
		return new StoreKey(chunkPrefix(generation).path() + String.format(Locale.ROOT, "%05d", index));
	}

	static int otherGeneration(int generation) {
		return (generation + 1) % GENERATIONS;
	}

}
