package io.lentilstream.entry.shards;

import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.JobId;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;

/**
 * The mapping of workers, endpoints, jobs and idempotency keys to shards. It must be
 * identical in every entry daemon and every version, because it determines which owner
 * may commit.
 */
public final class ShardMap {

	private static final int FNV_OFFSET = 0x811c9dc5;

	private static final int FNV_PRIME = 0x01000193;

	private final AvailabilityZoneId zone;

	private final int shardsPerZone;

	private final String region;

	private final int requestShards;

	/**
	 * Creates the mapping.
	 * @param zone the availability zone of this entry VM
	 * @param shardsPerZone the number of task shards per zone
	 * @param region the region of this entry VM
	 * @param requestShards the number of request shards of the region
	 */
	public ShardMap(AvailabilityZoneId zone, int shardsPerZone, String region, int requestShards) {
		this.zone = zone;
		this.shardsPerZone = shardsPerZone;
		this.region = region;
		this.requestShards = requestShards;
	}

	/**
	 * Returns the shard of a worker of this zone.
	 * @param vm the VM of the worker
	 * @return the shard
	 */
	public ShardId ofWorker(VmId vm) {
		return new ShardId(this.zone.value(), index(vm.value(), this.shardsPerZone));
	}

	/**
	 * Returns the shard of an endpoint of this zone.
	 * @param endpoint the endpoint
	 * @return the shard
	 */
	public ShardId ofEndpoint(EndpointId endpoint) {
		return new ShardId(this.zone.value(), index(endpoint.value(), this.shardsPerZone));
	}

	/**
	 * Returns the task shard of a job.
	 * @param home the availability zone that runs the job
	 * @param team the team
	 * @param job the key of the job
	 * @return the shard
	 */
	public ShardId ofJob(AvailabilityZoneId home, TeamId team, JobId job) {
		return new ShardId(home.value(), index(team.value() + "/" + job.value(), this.shardsPerZone));
	}

	/**
	 * Returns the request shard of an idempotency key.
	 * @param team the team
	 * @param key the key
	 * @return the shard
	 */
	public ShardId ofKey(TeamId team, IdempotencyKey key) {
		return new ShardId(this.region, index(team.value() + "/" + key.value(), this.requestShards));
	}

	/**
	 * Returns whether a shard is a task shard of this zone.
	 * @param shard the shard
	 * @return {@code false} for request shards
	 */
	public boolean isTaskShard(ShardId shard) {
		return shard.scope().equals(this.zone.value());
	}

	/**
	 * Returns the stable hash of a text as an index.
	 * @param text the text
	 * @param size the number of indexes
	 * @return the index, from 0 to size - 1
	 */
	public static int index(String text, int size) {
		int hash = FNV_OFFSET;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * FNV_PRIME;
		}
		hash ^= hash >>> 16;
		hash *= 0x85ebca6b;
		hash ^= hash >>> 13;
		return Math.floorMod(hash, size);
	}

}
