package io.lentilstream.shards.ownership;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.Identifiers;
import io.lentilstream.model.ShardId;

/**
 * A set of shards that are distributed over the same entry VMs: the worker shards of an
 * availability zone or the request shards of a region. A zone and a region must not have
 * the same name.
 *
 * @param name the name of the zone or region
 * @param shards the number of shards, at least 1
 */
public record ShardScope(String name, int shards) {

	public ShardScope {
		if (!Identifiers.isValid(name) || shards < 1) {
			throw new IllegalArgumentException("shard scope has an invalid name or no shards");
		}
	}

	/**
	 * Returns the shards of this scope.
	 * @return the shards by index
	 */
	public List<ShardId> shardIds() {
		List<ShardId> ids = new ArrayList<>(this.shards);
		for (int i = 0; i < this.shards; i++) {
			ids.add(new ShardId(this.name, i));
		}
		return ids;
	}

}
