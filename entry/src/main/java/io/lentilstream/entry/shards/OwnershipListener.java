package io.lentilstream.entry.shards;

import java.util.Optional;
import java.util.function.Consumer;

import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

/**
 * Is told which shards this entry VM owns. All calls come in order.
 */
public interface OwnershipListener {

	/**
	 * This entry VM owns a shard from now on.
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 * @param releasedCleanly whether nothing of an earlier owner must be held back
	 * @param previousOwner the previous owner, if there was one
	 */
	void shardAcquired(ShardId shard, Epoch epoch, boolean releasedCleanly, Optional<VmId> previousOwner);

	/**
	 * A shard must be given up: nothing new starts in it. The listener calls back once
	 * its log is idle.
	 * @param shard the shard
	 * @param onPrepared is told whether nothing is held back for an earlier owner
	 */
	void prepareRelease(ShardId shard, Consumer<Boolean> onPrepared);

	/**
	 * This entry VM does not own the shard any more.
	 * @param shard the shard
	 * @param epoch the epoch that ended
	 * @param leaseLapsed whether the lease lapsed and no other owner is known
	 */
	void shardLost(ShardId shard, Epoch epoch, boolean leaseLapsed);

	/**
	 * The commit deadline of all owned shards changed.
	 * @param commitDeadline the deadline; empty without a lease
	 */
	void commitDeadlineChanged(Optional<MonotonicTime> commitDeadline);

}
