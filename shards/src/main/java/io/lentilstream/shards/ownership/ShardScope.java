package io.lentilstream.shards.ownership;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.Identifiers;
import io.lentilstream.model.ShardId;

/**
 * Is a set of shards that the same entry VMs share: the worker shards of an availability
 * zone or the request shards of a region. Names of zones and regions must differ.
 *
 * @param name the name of the zone or region
 * @param shards the number of shards
 */
public record ShardScope(String name, int shards) {

	public ShardScope {
		if (!Identifiers.isValid(name) || shards < 1) {
			throw new IllegalArgumentException("invalid shard scope");
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
