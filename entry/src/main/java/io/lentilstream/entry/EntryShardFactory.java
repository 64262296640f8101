package io.lentilstream.entry;

import java.util.function.Supplier;

import io.lentilstream.clients.WorkerClient;
import io.lentilstream.entry.records.RequestShardDriver;
import io.lentilstream.entry.shards.OwnedShards;
import io.lentilstream.entry.tasks.TaskShardDriver;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.ShardId;
import io.lentilstream.requests.records.RequestRecordSettings;
import io.lentilstream.requests.records.RequestRecords;
import io.lentilstream.shards.log.ShardLog;
import io.lentilstream.shards.log.ShardLogSettings;
import io.lentilstream.tasks.TaskSettings;

/**
 * The factory of the drivers of acquired shards.
 *
 * @param logs supplies the shard log settings; the share of the store's write rate
 * depends on the numbers of zones and regions in force
 * @param tasks the settings of task scheduling
 * @param workers sends commands to workers
 * @param environment the components that all shards share
 * @param threads the threads of the daemon
 */
record EntryShardFactory(Supplier<ShardLogSettings> logs, TaskSettings tasks, WorkerClient workers,
		RequestShardDriver.Environment environment, EntryThreads threads) implements OwnedShards.Factory {

	@Override
	public TaskShardDriver newTaskShard(ShardId shard, Epoch epoch, boolean releasedCleanly) {
		return new TaskShardDriver(shard, epoch, releasedCleanly, this.tasks, newLog(shard, epoch),
				this.environment.store(), this.workers, this.environment.clock(), this.threads.newSerialExecutor(),
				this.threads.timers());
	}

	@Override
	public RequestShardDriver newRequestShard(ShardId shard, Epoch epoch) {
		return new RequestShardDriver(shard, new RequestRecords(RequestRecordSettings.defaults(), shard, epoch),
				newLog(shard, epoch), this.environment, this.threads.newSerialExecutor());
	}

	private ShardLog newLog(ShardId shard, Epoch epoch) {
		return new ShardLog(this.logs.get(), shard, epoch, this.environment.clock().now());
	}

}
