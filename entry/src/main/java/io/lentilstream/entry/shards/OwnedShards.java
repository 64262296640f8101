package io.lentilstream.entry.shards;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.lentilstream.entry.directory.EndpointPool;
import io.lentilstream.entry.records.RequestShardDriver;
import io.lentilstream.entry.tasks.TaskShardDriver;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

/**
 * The shards that this entry VM owns. A driver is started for each acquired shard and
 * closed when the shard is lost.
 */
public final class OwnedShards implements OwnershipListener {

	private final ShardMap shardMap;

	private final EndpointPool endpoints;

	private final Factory factory;

	private final Runnable onTaskShardAcquired;

	private final Map<ShardId, TaskShardDriver> taskShards = new ConcurrentHashMap<>();

	private final Map<ShardId, RequestShardDriver> requestShards = new ConcurrentHashMap<>();

	private volatile Optional<MonotonicTime> lastCommitDeadline = Optional.empty();

	/**
	 * Creates an empty set.
	 * @param shardMap distinguishes task shards from request shards
	 * @param endpoints the pool of endpoints of owned shards
	 * @param factory creates the drivers
	 * @param onTaskShardAcquired passes workers and quotas to the owned task shards
	 */
	public OwnedShards(ShardMap shardMap, EndpointPool endpoints, Factory factory, Runnable onTaskShardAcquired) {
		this.shardMap = shardMap;
		this.endpoints = endpoints;
		this.factory = factory;
		this.onTaskShardAcquired = onTaskShardAcquired;
	}

	@Override
	public void shardAcquired(ShardId shard, Epoch epoch, boolean releasedCleanly, Optional<VmId> previousOwner) {
		if (!this.shardMap.isTaskShard(shard)) {
			this.requestShards.put(shard, this.factory.newRequestShard(shard, epoch));
			return;
		}
		TaskShardDriver driver = this.factory.newTaskShard(shard, epoch, releasedCleanly);
		this.taskShards.put(shard, driver);
		this.lastCommitDeadline.ifPresent(driver::setCommitDeadline);
		this.onTaskShardAcquired.run();
		this.endpoints.shardAcquired(shard, releasedCleanly);
	}

	@Override
	public void prepareRelease(ShardId shard, Consumer<Boolean> onPrepared) {
		TaskShardDriver taskShard = this.taskShards.get(shard);
		if (taskShard != null) {
			taskShard.prepareRelease(onPrepared);
			return;
		}
		RequestShardDriver requestShard = this.requestShards.get(shard);
		if (requestShard != null) {
			requestShard.prepareRelease(onPrepared);
		}
	}

	@Override
	public void shardLost(ShardId shard, Epoch epoch, boolean leaseLapsed) {
		TaskShardDriver taskShard = this.taskShards.remove(shard);
		if (taskShard != null) {
			taskShard.close();
			if (leaseLapsed) {
				this.endpoints.retainAfterLapse(shard);
			}
			else {
				this.endpoints.shardLost(shard);
			}
		}
		RequestShardDriver requestShard = this.requestShards.remove(shard);
		if (requestShard != null) {
			requestShard.close();
		}
	}

	@Override
	public void commitDeadlineChanged(Optional<MonotonicTime> commitDeadline) {
		this.lastCommitDeadline = commitDeadline;
		commitDeadline.ifPresent((time) -> this.taskShards.values().forEach((shard) -> shard.setCommitDeadline(time)));
	}

	/**
	 * Returns the owned task shards.
	 * @return the drivers by shard
	 */
	public Map<ShardId, TaskShardDriver> taskShards() {
		return Map.copyOf(this.taskShards);
	}

	/**
	 * Returns the owned request shards.
	 * @return the drivers by shard
	 */
	public Map<ShardId, RequestShardDriver> requestShards() {
		return Map.copyOf(this.requestShards);
	}

	/**
	 * Removes the retained endpoints of lapsed shards that another entry VM owns.
	 * @param isOwnedByPeer returns whether another entry VM owns a shard
	 */
	public void dropRetainedEndpoints(java.util.function.Predicate<ShardId> isOwnedByPeer) {
		List<ShardId> retained = this.endpoints.retained();
		retained.stream().filter(isOwnedByPeer).forEach(this.endpoints::shardLost);
	}

	/**
	 * Closes all drivers without releasing their shards.
	 */
	public void closeDrivers() {
		this.taskShards.values().forEach(TaskShardDriver::close);
		this.requestShards.values().forEach(RequestShardDriver::close);
	}

	/**
	 * A factory for the drivers of acquired shards.
	 */
	public interface Factory {

		/**
		 * Creates the driver of a task shard.
		 * @param shard the shard
		 * @param epoch the epoch of this owner
		 * @param releasedCleanly whether no capacity must be held back for tasks of an
		 * earlier owner
		 * @return the driver
		 */
		TaskShardDriver newTaskShard(ShardId shard, Epoch epoch, boolean releasedCleanly);

		/**
		 * Creates the driver of a request shard.
		 * @param shard the shard
		 * @param epoch the epoch of this owner
		 * @return the driver
		 */
		RequestShardDriver newRequestShard(ShardId shard, Epoch epoch);

	}

}
