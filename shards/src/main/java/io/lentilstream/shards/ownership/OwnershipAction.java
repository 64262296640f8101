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
 * An action that {@link ShardOwnership} requests: a store call, whose outcome is passed
 * back with the action id, or an event. The caller performs actions in the order of the
 * list.
 */
public sealed interface OwnershipAction {

	/**
	 * A request for a store lease.
	 *
	 * @param id the action id
	 * @param duration the duration of the lease without renewal
	 */
	record GrantLease(long id, Duration duration) implements OwnershipAction {
	}

	/**
	 * A renewal of the store lease.
	 *
	 * @param id the action id
	 * @param lease the lease
	 */
	record RenewLease(long id, LeaseId lease) implements OwnershipAction {
	}

	/**
	 * A revocation of the store lease, at the end of a graceful shutdown.
	 *
	 * @param id the action id
	 * @param lease the lease
	 */
	record RevokeLease(long id, LeaseId lease) implements OwnershipAction {
	}

	/**
	 * A write of an entry VM record or ownership record.
	 *
	 * @param id the action id
	 * @param write the compare-and-swap
	 */
	record WriteRecord(long id, StoreWrite write) implements OwnershipAction {
	}

	/**
	 * A read of a record after the reply to its write was lost.
	 *
	 * @param id the action id
	 * @param key the key
	 */
	record ReadRecord(long id, StoreKey key) implements OwnershipAction {
	}

	/**
	 * A list of entry VM records or ownership records.
	 *
	 * @param id the action id
	 * @param prefix the prefix of the keys
	 */
	record ListRecords(long id, StoreKey prefix) implements OwnershipAction {
	}

	/**
	 * This VM owns the shard from now on. The caller recovers the log of the shard under
	 * this epoch.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 * @param releasedCleanly whether there was no previous owner, or it confirmed that it
	 * stopped and had nothing left to hold back for an earlier owner
	 * @param previousOwner the previous owner, which can be asked whether it has stopped;
	 * may be this VM
	 */
	record ShardAcquired(ShardId shard, Epoch epoch, boolean releasedCleanly,
			Optional<VmId> previousOwner) implements OwnershipAction {
	}

	/**
	 * The commit deadline passed without a lease renewal. The shard starts no new work;
	 * existing task leases may be renewed during the outage grace period.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 */
	record ShardSuspended(ShardId shard, Epoch epoch) implements OwnershipAction {
	}

	/**
	 * A late renewal showed that the lease did not lapse, so the shard continues under
	 * the same epoch.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 */
	record ShardResumed(ShardId shard, Epoch epoch) implements OwnershipAction {
	}

	/**
	 * The shard is to be released. The caller starts no new work in it, waits until its
	 * log has no pending commit and then calls {@link ShardOwnership#releasePrepared}.
	 *
	 * @param shard the shard
	 * @param epoch the epoch of this owner
	 */
	record PrepareRelease(ShardId shard, Epoch epoch) implements OwnershipAction {
	}

	/**
	 * This VM no longer owns the shard. The caller discards the state of the shard.
	 *
	 * @param shard the shard
	 * @param epoch the epoch that ended
	 * @param reason the reason
	 */
	record ShardLost(ShardId shard, Epoch epoch, LossReason reason) implements OwnershipAction {
	}

	/**
	 * The graceful shutdown is complete.
	 */
	record ShutdownComplete() implements OwnershipAction {
	}

	/**
	 * A record cannot be read, or another process uses this VM id. An unreadable record
	 * is ignored, so the shard or VM is not part of the assignment.
	 *
	 * @param key the key
	 * @param reason a description of the fault
	 */
	record RecordRefused(StoreKey key, String reason) implements OwnershipAction {
	}

	/**
	 * The reason why a shard was lost.
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
