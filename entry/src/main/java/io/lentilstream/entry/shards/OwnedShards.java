package io.lentilstream.entry.shards;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.lentilstream.entry.directory.EndpointPool;
import io.lentilstream.entry.records.RecordShardDriver;
import io.lentilstream.entry.tasks.TaskShardDriver;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

/**
 * Starts a driver for each gained shard and stops it when the shard is lost.
 */
public final class OwnedShards implements OwnershipListener {

	private final ShardMap shardMap;

	private final EndpointPool endpoints;

	private final Factory factory;

	private final Runnable taskShardGained;

	private final Map<ShardId, TaskShardDriver> taskShards = new ConcurrentHashMap<>();

	private final Map<ShardId, RecordShardDriver> recordShards = new ConcurrentHashMap<>();

	private volatile Optional<MonotonicTime> deadline = Optional.empty();

	/**
	 * Creates an empty set.
	 * @param shardMap tells worker shards from request shards
	 * @param endpoints gets the endpoints of owned shards
	 * @param factory creates drivers
	 * @param taskShardGained gives workers and quotas to the owned worker shards
	 */
	public OwnedShards(ShardMap shardMap, EndpointPool endpoints, Factory factory, Runnable taskShardGained) {
		this.shardMap = shardMap;
		this.endpoints = endpoints;
		this.factory = factory;
		this.taskShardGained = taskShardGained;
	}

	@Override
	public void gained(ShardId shard, Epoch epoch, boolean releasedCleanly, Optional<VmId> previousOwner) {
		if (!this.shardMap.isWorkerShard(shard)) {
			this.recordShards.put(shard, this.factory.newRecordShard(shard, epoch));
			return;
		}
		TaskShardDriver driver = this.factory.newTaskShard(shard, epoch, releasedCleanly);
		this.taskShards.put(shard, driver);
		this.deadline.ifPresent(driver::setCommitDeadline);
		this.taskShardGained.run();
		this.endpoints.gained(shard, releasedCleanly);
	}

	@Override
	public void prepareRelease(ShardId shard, Consumer<Boolean> ready) {
		TaskShardDriver tasks = this.taskShards.get(shard);
		if (tasks != null) {
			tasks.prepareRelease(ready);
			return;
		}
		RecordShardDriver records = this.recordShards.get(shard);
		if (records != null) {
			records.prepareRelease(ready);
		}
	}

	@Override
	public void lost(ShardId shard, Epoch epoch, boolean lapsed) {
		TaskShardDriver tasks = this.taskShards.remove(shard);
		if (tasks != null) {
			tasks.close();
			if (lapsed) {
				this.endpoints.linger(shard);
			}
			else {
				this.endpoints.lost(shard);
			}
		}
		RecordShardDriver records = this.recordShards.remove(shard);
		if (records != null) {
			records.close();
		}
	}

	@Override
	public void deadlineChanged(Optional<MonotonicTime> commitDeadline) {
		this.deadline = commitDeadline;
		commitDeadline.ifPresent((time) -> this.taskShards.values().forEach((shard) -> shard.setCommitDeadline(time)));
	}

	/**
	 * Returns the owned worker shards.
	 * @return the drivers by shard
	 */
	public Map<ShardId, TaskShardDriver> taskShards() {
		return Map.copyOf(this.taskShards);
	}

	/**
	 * Returns the owned request shards.
	 * @return the drivers by shard
	 */
	public Map<ShardId, RecordShardDriver> recordShards() {
		return Map.copyOf(this.recordShards);
	}

	/**
	 * Gives up the endpoints of lapsed shards that another entry VM owns by now.
	 * @param ownedByOthers tells whether another entry VM owns a shard
	 */
	public void endLingering(java.util.function.Predicate<ShardId> ownedByOthers) {
		List<ShardId> lingering = this.endpoints.lingering();
		lingering.stream().filter(ownedByOthers).forEach(this.endpoints::lost);
	}

	/**
	 * Stops all drivers without releasing their shards.
	 */
	public void stop() {
		this.taskShards.values().forEach(TaskShardDriver::close);
		this.recordShards.values().forEach(RecordShardDriver::close);
	}

	/**
	 * Creates the drivers of gained shards.
	 */
	public interface Factory {

		/**
		 * Creates the driver of a worker shard.
		 * @param shard the shard
		 * @param epoch the epoch of this owner
		 * @param releasedCleanly whether nothing of an earlier owner must be held back
		 * @return the driver
		 */
		TaskShardDriver newTaskShard(ShardId shard, Epoch epoch, boolean releasedCleanly);

		/**
		 * Creates the driver of a request shard.
		 * @param shard the shard
		 * @param epoch the epoch of this owner
		 * @return the driver
		 */
		RecordShardDriver newRecordShard(ShardId shard, Epoch epoch);

	}

}
