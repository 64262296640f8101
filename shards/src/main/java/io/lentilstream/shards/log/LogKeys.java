package io.lentilstream.shards.log;

import java.util.Locale;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.model.ShardId;

/**
 * Names the store keys of a shard log. They are not below the prefix of the ownership
 * records, so that a list of those does not return logs.
 */
public final class LogKeys {

	private static final int GENERATIONS = 2;

	private final String prefix;

	/**
	 * Creates the names.
	 * @param shard the shard
	 */
	public LogKeys(ShardId shard) {
		this.prefix = "/lentilstream/logs/" + shard.scope() + "/" + shard.index();
	}

	/**
	 * Returns the prefix of the ring's slots.
	 * @return the prefix
	 */
	public StoreKey slots() {
		return new StoreKey(this.prefix + "/slot/");
	}

	/**
	 * Returns the key of a slot.
	 * @param slot the index in the ring
	 * @return the key
	 */
	public StoreKey slot(int slot) {
		return new StoreKey(slots().path() + String.format(Locale.ROOT, "%05d", slot));
	}

	/**
	 * Returns the key of the snapshot head.
	 * @return the key
	 */
	public StoreKey head() {
		return new StoreKey(this.prefix + "/head");
	}

	/**
	 * Returns the prefix of a snapshot's chunks.
	 * @param generation the generation; two alternate, so that a new snapshot leaves the
	 * chunks of the present one alone
	 * @return the prefix
	 */
	public StoreKey chunks(int generation) {
		return new StoreKey(this.prefix + "/chunk/" + generation + "/");
	}

	/**
	 * Returns the key of a chunk.
	 * @param generation the generation
	 * @param index the index of the chunk
	 * @return the key
	 */
	public StoreKey chunk(int generation, int index) {
		return new StoreKey(chunks(generation).path() + String.format(Locale.ROOT, "%05d", index));
	}

	static int otherGeneration(int generation) {
		return (generation + 1) % GENERATIONS;
	}

}
