package io.lentilstream.shards.ownership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import io.lentilstream.clients.LeaseOutcome;
import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;
import io.lentilstream.shards.FakeStore;

/**
 * Runs the shard ownership of several entry VMs against one fake store in virtual time.
 */
final class OwnershipCluster {

	private static final long STEP_MILLIS = 100;

	final FakeStore store = new FakeStore();

	final ShardScope scope;

	final Map<String, Vm> vms = new TreeMap<>();

	private final Map<ShardId, Epoch> epochs = new TreeMap<>();

	MonotonicTime now = MonotonicTime.ofMillis(0);

	OwnershipCluster(int shards) {
		this.scope = new ShardScope("zone-1", shards);
	}

	Vm start(String name, double clockRate) {
		Vm vm = new Vm(name, clockRate);
		this.vms.put(name, vm);
		return vm;
	}

	Vm start(String name) {
		return start(name, 1);
	}

	void run(long millis) {
		for (long i = 0; i < millis; i += STEP_MILLIS) {
			this.now = this.now.plusMillis(STEP_MILLIS);
			this.store.expire(this.now);
			this.vms.values().forEach(Vm::run);
			assertSingleCommitter();
		}
	}

	/**
	 * Checks that at most one entry VM may commit in each shard.
	 */
	void assertSingleCommitter() {
		for (ShardId shard : this.scope.shardIds()) {
			List<String> committing = this.vms.values()
				.stream()
				.filter((vm) -> vm.ownership.mayCommit(vm.time(), shard))
				.map((vm) -> vm.name)
				.toList();
			if (committing.size() > 1) {
				throw new AssertionError("shard " + shard + " at " + this.now + " has owners " + committing);
			}
		}
	}

	private void assertEpochRises(OwnershipAction.ShardAcquired acquired) {
		Epoch last = this.epochs.put(acquired.shard(), acquired.epoch());
		if (last != null && last.compareTo(acquired.epoch()) >= 0) {
			throw new AssertionError(
					"epoch of shard " + acquired.shard() + " went from " + last + " to " + acquired.epoch());
		}
	}

	int owned(String name) {
		return this.vms.get(name).ownership.ownedShards().size();
	}

	long ownedInTotal() {
		return this.vms.values().stream().mapToLong((vm) -> vm.ownership.ownedShards().size()).sum();
	}

	static StoreKey ownershipRecord(int index) {
		return OwnershipKeys.ownershipRecord(new ShardId("zone-1", index));
	}

	/**
	 * An entry VM with its own clock and store connection.
	 */
	final class Vm {

		final String name;

		final ShardOwnership ownership;

		final List<OwnershipAction> events = new ArrayList<>();

		final Deque<OwnershipAction> pendingCalls = new ArrayDeque<>();

		private final double clockRate;

		private final Deque<Reply> replies = new ArrayDeque<>();

		boolean paused;

		long replyDelayMillis;

		boolean disconnected;

		boolean cleanRelease = true;

		/** Whether the next write is applied but its reply is lost. */
		boolean loseNextReply;

		/** Whether the next write is lost. */
		boolean loseNextWrite;

		long storeCalls;

		Vm(String name, double clockRate) {
			this.name = name;
			this.clockRate = clockRate;
			this.ownership = new ShardOwnership(OwnershipSettings.defaults(), new VmId(name),
					List.of(OwnershipCluster.this.scope), time());
		}

		MonotonicTime time() {
			return new MonotonicTime((long) (OwnershipCluster.this.now.nanos() * this.clockRate));
		}

		double clockRate() {
			return this.clockRate;
		}

		void run() {
			if (this.paused) {
				return;
			}
			deliverReplies();
			perform(this.ownership.tick(time()));
			while (!this.pendingCalls.isEmpty()) {
				performNextCall();
			}
		}

		private void deliverReplies() {
			while (!this.replies.isEmpty() && !OwnershipCluster.this.now.isBefore(this.replies.peek().at())) {
				perform(this.replies.remove().outcome().get());
			}
		}

		private void reply(Supplier<List<OwnershipAction>> outcome) {
			this.replies.add(new Reply(OwnershipCluster.this.now.plusMillis(this.replyDelayMillis), outcome));
		}

		void perform(List<OwnershipAction> actions) {
			for (OwnershipAction action : actions) {
				if (action instanceof OwnershipAction.ShardAcquired acquired) {
					OwnershipCluster.this.assertEpochRises(acquired);
					this.events.add(action);
				}
				else if (action instanceof OwnershipAction.PrepareRelease release) {
					this.events.add(action);
					perform(this.ownership.releasePrepared(time(), release.shard(), this.cleanRelease));
				}
				else if (isEvent(action)) {
					this.events.add(action);
				}
				else {
					this.pendingCalls.add(action);
				}
			}
		}

		void performNextCall() {
			callStore();
			deliverReplies();
		}

		private void callStore() {
			OwnershipAction call = this.pendingCalls.remove();
			this.storeCalls++;
			FakeStore store = OwnershipCluster.this.store;
			MonotonicTime storeTime = OwnershipCluster.this.now;
			if (call instanceof OwnershipAction.GrantLease grant) {
				replyToLeaseCall(grant.id(),
						this.disconnected ? null : store.grant(storeTime, grant.duration().toMillis()));
			}
			else if (call instanceof OwnershipAction.RenewLease renew) {
				replyToLeaseCall(renew.id(), this.disconnected ? null : store.renew(storeTime, renew.lease()));
			}
			else if (call instanceof OwnershipAction.RevokeLease revoke) {
				replyToLeaseCall(revoke.id(), this.disconnected ? null : store.revoke(revoke.lease()));
			}
			else if (call instanceof OwnershipAction.WriteRecord write) {
				write(write);
			}
			else if (call instanceof OwnershipAction.ReadRecord read) {
				ReadOutcome outcome = this.disconnected ? new ReadOutcome.Unavailable("cut off")
						: store.read(read.key());
				reply(() -> this.ownership.completed(time(), read.id(), outcome));
			}
			else if (call instanceof OwnershipAction.ListRecords list) {
				ListOutcome outcome = this.disconnected ? new ListOutcome.Unavailable("cut off")
						: store.list(list.prefix());
				reply(() -> this.ownership.completed(time(), list.id(), outcome));
			}
		}

		private void replyToLeaseCall(long id, LeaseOutcome outcome) {
			LeaseOutcome reply = (outcome != null) ? outcome : new LeaseOutcome.Unavailable("cut off");
			reply(() -> this.ownership.completed(time(), id, reply));
		}

		private void write(OwnershipAction.WriteRecord write) {
			boolean reachesStore = !this.disconnected && !this.loseNextWrite;
			WriteOutcome applied = reachesStore ? OwnershipCluster.this.store.write(write.write()) : null;
			WriteOutcome outcome = (reachesStore && !this.loseNextReply) ? applied
					: new WriteOutcome.ReplyLost("timeout");
			this.loseNextReply = false;
			this.loseNextWrite = false;
			reply(() -> this.ownership.completed(time(), write.id(), outcome));
		}

		long count(Class<? extends OwnershipAction> type) {
			return this.events.stream().filter(type::isInstance).count();
		}

		private static boolean isEvent(OwnershipAction action) {
			return !(action instanceof OwnershipAction.GrantLease || action instanceof OwnershipAction.RenewLease
					|| action instanceof OwnershipAction.RevokeLease || action instanceof OwnershipAction.WriteRecord
					|| action instanceof OwnershipAction.ReadRecord || action instanceof OwnershipAction.ListRecords);
		}

	}

	private record Reply(MonotonicTime at, Supplier<List<OwnershipAction>> outcome) {
	}

}
