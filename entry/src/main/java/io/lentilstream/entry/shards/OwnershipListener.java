package io.lentilstream.entry.shards;

import java.util.Optional;
import java.util.function.Consumer;

import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

/**
 * A listener for the events of shard ownership. It is called serially, in the order of
 * the events.
 */
public interface OwnershipListener {

	/**
	 * Called when this entry VM has acquired a shard.
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 * @param releasedCleanly whether no capacity must be held back for tasks of an
	 * earlier owner
	 * @param previousOwner the previous owner, or empty if there was none
	 */
	void shardAcquired(ShardId shard, Epoch epoch, boolean releasedCleanly, Optional<VmId> previousOwner);

	/**
	 * Called when a shard is to be released. The listener starts no new work in it and
	 * calls back once its log is idle.
	 * @param shard the shard
	 * @param onPrepared receives whether the release is clean: nothing is held back for
	 * an earlier owner
	 */
	void prepareRelease(ShardId shard, Consumer<Boolean> onPrepared);

	/**
	 * Called when this entry VM no longer owns a shard.
	 * @param shard the shard
	 * @param epoch the epoch that ended
	 * @param leaseLapsed whether the shard was lost because the store lease lapsed; no
	 * other owner is known then
	 */
	void shardLost(ShardId shard, Epoch epoch, boolean leaseLapsed);

	/**
	 * Called when the commit deadline of all owned shards changed.
	 * @param commitDeadline the deadline; empty without a lease
	 */
	void commitDeadlineChanged(Optional<MonotonicTime> commitDeadline);

}
