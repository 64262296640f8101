package io.lentilstream.shards.ownership;

import java.util.Optional;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

/**
 * The store keys of shard ownership.
 */
public final class OwnershipKeys {

	/**
	 * The prefix of the records of live entry VMs.
	 */
	public static final StoreKey ENTRY_VM_PREFIX = new StoreKey("/lentilstream/entries/");

	private static final String SHARD_PREFIX = "/lentilstream/shards/";

	private static final String OWNER_SUFFIX = "/owner";

	private OwnershipKeys() {
	}

	/**
	 * Returns the key of the record of an entry VM.
	 * @param vm the entry VM
	 * @return the key
	 */
	public static StoreKey entryVm(VmId vm) {
		return new StoreKey(ENTRY_VM_PREFIX.path() + vm.value());
	}

	/**
	 * Returns the key of the ownership record of a shard.
	 * @param shard the shard
	 * @return the key
	 */
	public static StoreKey ownershipRecord(ShardId shard) {
		return new StoreKey(SHARD_PREFIX + shard.scope() + "/" + shard.index() + OWNER_SUFFIX);
	}

	/**
	 * Returns the prefix of the ownership records of a scope. It ends with a slash, so
	 * that {@code zone-1} does not match the records of {@code zone-10}.
	 * @param scope the scope
	 * @return the prefix
	 */
	public static StoreKey recordPrefix(String scope) {
		return new StoreKey(SHARD_PREFIX + scope + "/");
	}

	static Optional<ShardId> parseShard(StoreKey key, String scope) {
		String prefix = recordPrefix(scope).path();
		String path = key.path();
		if (!path.startsWith(prefix) || !path.endsWith(OWNER_SUFFIX)) {
			return Optional.empty();
		}
		String index = path.substring(prefix.length(), path.length() - OWNER_SUFFIX.length());
		if (!index.matches("[0-9]{1,9}")) {
			return Optional.empty();
		}
		return Optional.of(new ShardId(scope, Integer.parseInt(index)));
	}

}
