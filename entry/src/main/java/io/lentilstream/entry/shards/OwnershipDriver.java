package io.lentilstream.entry.shards;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;

import com.google.common.flogger.FluentLogger;

import io.lentilstream.clients.StoreClient;
import io.lentilstream.entry.timer.WakeUpTimer;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;
import io.lentilstream.shards.ownership.OwnershipAction;
import io.lentilstream.shards.ownership.ShardOwnership;

/**
 * The I/O driver that performs the actions of shard ownership against the store.
 */
public final class OwnershipDriver implements AutoCloseable {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String PREFIX = "ownership: ";

	private final ShardOwnership ownership;

	private final StoreClient store;

	private final OwnershipListener listener;

	private final MonotonicClock clock;

	private final Executor serial;

	private final WakeUpTimer timer;

	private final CompletableFuture<Void> shutdownCompletion = new CompletableFuture<>();

	private Optional<MonotonicTime> lastDeadline = Optional.empty();

	private volatile boolean closed;

	/**
	 * Creates a driver.
	 * @param ownership the state machine of shard ownership
	 * @param store the client of the store
	 * @param listener receives the events of shard ownership
	 * @param clock the monotonic clock
	 * @param serial runs all steps in order
	 * @param timers schedules the next tick
	 */
	public OwnershipDriver(ShardOwnership ownership, StoreClient store, OwnershipListener listener,
			MonotonicClock clock, Executor serial, ScheduledExecutorService timers) {
		this.ownership = ownership;
		this.store = store;
		this.listener = listener;
		this.clock = clock;
		this.serial = serial;
		this.timer = new WakeUpTimer(timers, clock, this::tick);
	}

	/**
	 * Performs the ownership actions that are due.
	 */
	public void tick() {
		step(() -> this.ownership.tick(this.clock.now()));
	}

	/**
	 * Sets the entry VMs that the platform lists as leaving.
	 * @param vms the VMs
	 */
	public void setLeavingVms(Set<VmId> vms) {
		this.ownership.setLeavingVms(vms);
	}

	/**
	 * Requests that the records are listed again, after a peer has gone or is leaving.
	 */
	public void requestRefresh() {
		step(() -> this.ownership.requestRefresh(this.clock.now()));
	}

	/**
	 * Releases all shards and revokes the store lease.
	 * @return a future that completes when peers can acquire the shards
	 */
	public CompletableFuture<Void> shutdown() {
		step(() -> this.ownership.shutdown(this.clock.now()));
		return this.shutdownCompletion;
	}

	/**
	 * Returns the shards that this entry VM owns.
	 * @return the epochs by shard
	 */
	public Map<ShardId, Epoch> ownedShards() {
		return this.ownership.ownedShards();
	}

	/**
	 * Returns the owner of a shard as last read from the store.
	 * @param shard the shard
	 * @return the owner, or empty if none is known or it released the shard
	 */
	public Optional<VmId> ownerOf(ShardId shard) {
		return this.ownership.lastKnownRecord(shard).filter((record) -> !record.released()).map((r) -> r.owner());
	}

	/**
	 * Returns the time after which no work may be committed.
	 * @return the commit deadline; empty without a lease
	 */
	public Optional<MonotonicTime> commitDeadline() {
		return this.ownership.commitDeadline();
	}

	private void step(java.util.function.Supplier<List<OwnershipAction>> input) {
		if (this.closed) {
			return;
		}
		this.serial.execute(() -> {
			if (this.closed) {
				return;
			}
			input.get().forEach(this::perform);
			Optional<MonotonicTime> deadline = this.ownership.commitDeadline();
			if (!deadline.equals(this.lastDeadline)) {
				this.lastDeadline = deadline;
				this.listener.commitDeadlineChanged(deadline);
			}
			this.timer.scheduleAt(this.ownership.nextWakeUp());
		});
	}

	private void perform(OwnershipAction action) {
		if (action instanceof OwnershipAction.GrantLease grant) {
			this.store.grantLease(grant.duration())
				.thenAccept((outcome) -> step(() -> this.ownership.completed(this.clock.now(), grant.id(), outcome)));
		}
		else if (action instanceof OwnershipAction.RenewLease renew) {
			this.store.renewLease(renew.lease())
				.thenAccept((outcome) -> step(() -> this.ownership.completed(this.clock.now(), renew.id(), outcome)));
		}
		else if (action instanceof OwnershipAction.RevokeLease revoke) {
			this.store.revokeLease(revoke.lease())
				.thenAccept((outcome) -> step(() -> this.ownership.completed(this.clock.now(), revoke.id(), outcome)));
		}
		else if (action instanceof OwnershipAction.WriteRecord write) {
			this.store.write(write.write())
				.thenAccept((outcome) -> step(() -> this.ownership.completed(this.clock.now(), write.id(), outcome)));
		}
		else if (action instanceof OwnershipAction.ReadRecord read) {
			this.store.read(read.key())
				.thenAccept((outcome) -> step(() -> this.ownership.completed(this.clock.now(), read.id(), outcome)));
		}
		else if (action instanceof OwnershipAction.ListRecords list) {
			this.store.list(list.prefix())
				.thenAccept((outcome) -> step(() -> this.ownership.completed(this.clock.now(), list.id(), outcome)));
		}
		else {
			handleEvent(action);
		}
	}

	private void handleEvent(OwnershipAction action) {
		if (action instanceof OwnershipAction.ShardAcquired acquired) {
			logger.atInfo().log(PREFIX + "acquired shard %s at epoch %s.", acquired.shard(), acquired.epoch());
			this.listener.shardAcquired(acquired.shard(), acquired.epoch(), acquired.releasedCleanly(),
					acquired.previousOwner());
		}
		else if (action instanceof OwnershipAction.PrepareRelease release) {
			this.listener.prepareRelease(release.shard(), (cleanRelease) -> step(
					() -> this.ownership.releasePrepared(this.clock.now(), release.shard(), cleanRelease)));
		}
		else if (action instanceof OwnershipAction.ShardLost lost) {
			logger.atInfo().log(PREFIX + "lost shard %s at epoch %s: %s.", lost.shard(), lost.epoch(), lost.reason());
			this.listener.shardLost(lost.shard(), lost.epoch(),
					lost.reason() == OwnershipAction.LossReason.LEASE_LAPSED);
		}
		else if (action instanceof OwnershipAction.ShardSuspended suspended) {
			logger.atWarning()
				.log(PREFIX
						+ "commit deadline of shard %s passed without a lease renewal; the shard starts no new work.",
						suspended.shard());
		}
		else if (action instanceof OwnershipAction.ShardResumed resumed) {
			logger.atInfo()
				.log(PREFIX + "resumed shard %s at epoch %s after a late lease renewal.", resumed.shard(),
						resumed.epoch());
		}
		else if (action instanceof OwnershipAction.RecordRefused refused) {
			logger.atSevere().log(PREFIX + "record %s was refused: %s.", refused.key(), refused.reason());
		}
		else if (action instanceof OwnershipAction.ShutdownComplete) {
			this.shutdownCompletion.complete(null);
		}
	}

	@Override
	public void close() {
		this.closed = true;
		this.timer.close();
	}

}
