package io.lentilstream.shards.ownership;

import java.time.Duration;
import java.util.Optional;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

/**
 * Is what the daemon does for {@link ShardOwnership}. Actions are carried out in the
 * order of the list. The outcome of a store call goes back with the id of its action.
 */
public sealed interface OwnershipAction {

	/**
	 * Asks the store for a lease.
	 *
	 * @param id the action id
	 * @param duration how long the lease lasts
	 */
	record GrantLease(long id, Duration duration) implements OwnershipAction {
	}

	/**
	 * Renews the lease.
	 *
	 * @param id the action id
	 * @param lease the lease
	 */
	record RenewLease(long id, LeaseId lease) implements OwnershipAction {
	}

	/**
	 * Ends the lease at the end of a graceful shutdown.
	 *
	 * @param id the action id
	 * @param lease the lease
	 */
	record RevokeLease(long id, LeaseId lease) implements OwnershipAction {
	}

	/**
	 * Writes an entry or ownership record.
	 *
	 * @param id the action id
	 * @param write the compare-and-swap
	 */
	record WriteRecord(long id, StoreWrite write) implements OwnershipAction {
	}

	/**
	 * Reads a record back after a lost reply.
	 *
	 * @param id the action id
	 * @param key the key
	 */
	record ReadRecord(long id, StoreKey key) implements OwnershipAction {
	}

	/**
	 * Lists entry or ownership records.
	 *
	 * @param id the action id
	 * @param prefix the prefix of the keys
	 */
	record ListRecords(long id, StoreKey prefix) implements OwnershipAction {
	}

	/**
	 * This VM owns the shard from now on: recover its log with this epoch.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 * @param releasedCleanly whether the previous owner confirmed that it stopped and
	 * left nothing to hold back, or there was none
	 * @param previousOwner the previous owner, which can be asked whether it stopped; may
	 * be this VM
	 */
	record ShardAcquired(ShardId shard, Epoch epoch, boolean releasedCleanly,
			Optional<VmId> previousOwner) implements OwnershipAction {
	}

	/**
	 * The commit deadline passed without a renewal. Nothing new starts in the shard;
	 * existing task leases may be renewed for the outage grace.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 */
	record ShardSuspended(ShardId shard, Epoch epoch) implements OwnershipAction {
	}

	/**
	 * A late renewal showed that the lease never lapsed; the shard's work goes on under
	 * the same epoch.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 */
	record ShardResumed(ShardId shard, Epoch epoch) implements OwnershipAction {
	}

	/**
	 * The shard is to be released. The daemon starts nothing new in it, waits until its
	 * log has no commit pending and calls {@link ShardOwnership#releasePrepared}.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 */
	record PrepareRelease(ShardId shard, Epoch epoch) implements OwnershipAction {
	}

	/**
	 * This VM does not own the shard any more; its state must be dropped.
	 *
	 * @param shard the shard
	 * @param epoch the epoch that ended
	 * @param reason why
	 */
	record ShardLost(ShardId shard, Epoch epoch, LossReason reason) implements OwnershipAction {
	}

	/**
	 * The graceful shutdown is complete.
	 */
	record ShutdownComplete() implements OwnershipAction {
	}

	/**
	 * A record could not be read; the shard or VM is left alone.
	 *
	 * @param key the key
	 * @param reason what was found
	 */
	record RecordRefused(StoreKey key, String reason) implements OwnershipAction {
	}

	/**
	 * Says why a shard was lost.
	 */
	enum LossReason {

		/** This VM released the shard. */
		RELEASED,
		/** The store lease lapsed. */
		LEASE_LAPSED,
		/** The ownership record names another owner or epoch. */
		TAKEN_BY_PEER

	}

}
