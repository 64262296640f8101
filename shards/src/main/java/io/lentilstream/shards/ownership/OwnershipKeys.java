package io.lentilstream.shards.ownership;

import java.util.Optional;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

/**
 * Names the store keys of shard ownership.
 */
public final class OwnershipKeys {

	/**
	 * Prefix of the keys of live entry VMs.
	 */
	public static final StoreKey ENTRIES = new StoreKey("/lentilstream/entries/");

	private static final String SHARDS = "/lentilstream/shards/";

	private static final String OWNER = "/owner";

	private OwnershipKeys() {
	}

	/**
	 * Returns the key of an entry VM.
	 * @param vm the entry VM
	 * @return the key
	 */
	public static StoreKey entry(VmId vm) {
		return new StoreKey(ENTRIES.path() + vm.value());
	}

	/**
	 * Returns the key of a shard's ownership record.
	 * @param shard the shard
	 * @return the key
	 */
	public static StoreKey owner(ShardId shard) {
		return new StoreKey(SHARDS + shard.scope() + "/" + shard.index() + OWNER);
	}

	/**
	 * Returns the prefix of a scope's ownership records. It ends with a slash, so that
	 * {@code zone-1} does not match the records of {@code zone-10}.
	 * @param scope the scope
	 * @return the prefix
	 */
	public static StoreKey records(String scope) {
		return new StoreKey(SHARDS + scope + "/");
	}

	static Optional<ShardId> shardOf(StoreKey key, String scope) {
		String prefix = records(scope).path();
		String path = key.path();
		if (!path.startsWith(prefix) || !path.endsWith(OWNER)) {
			return Optional.empty();
		}
		String index = path.substring(prefix.length(), path.length() - OWNER.length());
		if (!index.matches("[0-9]{1,9}")) {
			return Optional.empty();
		}
		return Optional.of(new ShardId(scope, Integer.parseInt(index)));
	}

}
