package io.lentilstream.shards.ownership;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two valid owners of one shard, an uneven distribution, slow takeover and
 * flapping ownership.
 */
class ShardOwnershipTests {

	private final OwnershipCluster cluster = new OwnershipCluster(8);

	@ParameterizedTest
	@CsvSource({ "1, 8, 8", "2, 4, 4", "3, 2, 3", "5, 1, 2", "7, 1, 2" })
	void spreadsShardsEvenlyOverVmsThatStartOneAfterAnother(int vms, int least, int most) {
		for (int i = 0; i < vms; i++) {
			this.cluster.start("vm-" + i);
			this.cluster.run(30_000);
		}
		this.cluster.run(60_000);
		assertThat(this.cluster.ownedInTotal()).isEqualTo(8);
		for (int i = 0; i < vms; i++) {
			assertThat(this.cluster.owned("vm-" + i)).isBetween(least, most);
		}
	}

	@Test
	void takesOverWithinOneListIntervalAfterTheLeaseLapses() {
		this.cluster.start("a");
		this.cluster.start("b");
		this.cluster.run(60_000);
		this.cluster.vms.get("a").paused = true;
		this.cluster.run(10_000 + 2_100);
		assertThat(this.cluster.owned("b")).isEqualTo(8);
		assertThat(this.cluster.vms.get("b").events).filteredOn(OwnershipAction.ShardAcquired.class::isInstance)
			.map(OwnershipAction.ShardAcquired.class::cast)
			.filteredOn((acquired) -> !acquired.releasedCleanly())
			.hasSize(4)
			.allMatch((acquired) -> acquired.previousOwner().equals(java.util.Optional.of(new VmId("a"))));
	}

	@Test
	void losesItsShardsWhenItResumesAfterItsLeaseLapsed() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		this.cluster.start("b");
		this.cluster.run(60_000);
		a.paused = true;
		this.cluster.run(20_000);
		a.paused = false;
		assertThat(a.ownership.mayCommit(a.time(), this.cluster.scope.shardIds().get(0))).isFalse();
		this.cluster.run(100);
		assertThat(a.count(OwnershipAction.ShardLost.class)).isGreaterThanOrEqualTo(4);
		this.cluster.run(60_000);
		assertThat(this.cluster.owned("a")).isEqualTo(4);
	}

	@Test
	void suspendsInAStoreOutageAndResumesUnderTheSameEpochIfTheLeaseStillExists() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		this.cluster.run(10_000);
		a.disconnected = true;
		this.cluster.run(8_500);
		assertThat(a.count(OwnershipAction.ShardSuspended.class)).isEqualTo(8);
		a.disconnected = false;
		this.cluster.run(500);
		assertThat(a.count(OwnershipAction.ShardResumed.class)).isEqualTo(8);
		assertThat(a.count(OwnershipAction.ShardLost.class)).isZero();
	}

	@Test
	void reacquiresItsShardsUnderAHigherEpochAfterALongOutage() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		this.cluster.run(10_000);
		a.disconnected = true;
		this.cluster.run(60_000);
		assertThat(a.count(OwnershipAction.ShardLost.class)).as("lost only once the store says so").isZero();
		a.disconnected = false;
		this.cluster.run(5_000);
		assertThat(a.count(OwnershipAction.ShardLost.class)).isEqualTo(8);
		assertThat(a.ownership.ownedShards()).hasSize(8)
			.allSatisfy((shard, epoch) -> assertThat(epoch).isEqualTo(new Epoch(2)));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void completesAnAcquisitionWithoutAReply(boolean applied) {
		OwnershipCluster.Vm a = this.cluster.start("a");
		while (!(a.pendingCalls.peek() instanceof OwnershipAction.WriteRecord write
				&& write.write().key().equals(OwnershipCluster.ownershipRecord(0)))) {
			if (a.pendingCalls.isEmpty()) {
				this.cluster.now = this.cluster.now.plusMillis(100);
				a.perform(a.ownership.tick(a.time()));
			}
			else {
				a.performNextCall();
			}
		}
		a.loseNextReply = applied;
		a.loseNextWrite = !applied;
		this.cluster.run(5_000);
		assertThat(a.ownership.ownedShards()).containsEntry(new ShardId("zone-1", 0), new Epoch(1));
	}

	@Test
	void doesNotAcquireAShardWhoseOwnerRegisteredAfterTheEntryVmsWereListed() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		a.perform(a.ownership.tick(a.time()));
		OwnershipAction.WriteRecord acquisition = null;
		while (!a.pendingCalls.isEmpty()) {
			if (a.pendingCalls.peek() instanceof OwnershipAction.WriteRecord write
					&& write.write().key().equals(OwnershipCluster.ownershipRecord(0))) {
				acquisition = write;
				a.pendingCalls.remove();
				continue;
			}
			a.performNextCall();
		}
		// While the acquisition is in flight, the entry VMs are listed, and then a peer
		// registers and acquires the shard. The conflict reveals the ownership record of
		// the peer before the list arrives, which does not contain the peer yet.
		this.cluster.now = this.cluster.now.plusMillis(2_000);
		a.perform(a.ownership.tick(a.time()));
		while (!isEntryVmList(a.pendingCalls.peek())) {
			a.performNextCall();
		}
		OwnershipAction.ListRecords list = (OwnershipAction.ListRecords) a.pendingCalls.remove();
		ListOutcome stale = this.cluster.store.list(OwnershipKeys.ENTRY_VM_PREFIX);
		LeaseId lease = new LeaseId(77);
		EntryVmRecord entry = new EntryVmRecord(lease, false, List.of("zone-1"));
		OwnershipRecord record = OwnershipRecord.acquired(new VmId("b"), lease, new Epoch(1));
		this.cluster.store
			.write(StoreWrite.put(OwnershipKeys.entryVm(new VmId("b")), entry.encode(), StoreWrite.ABSENT));
		this.cluster.store
			.write(StoreWrite.put(OwnershipCluster.ownershipRecord(0), record.encode(), StoreWrite.ABSENT));
		a.perform(a.ownership.completed(a.time(), acquisition.id(), this.cluster.store.write(acquisition.write())));
		a.perform(a.ownership.completed(a.time(), list.id(), stale));
		while (!a.pendingCalls.isEmpty()) {
			a.performNextCall();
		}
		assertThat(a.ownership.ownedShards()).hasSize(7).doesNotContainKey(new ShardId("zone-1", 0));
	}

	@Test
	void keepsItsSurplusShardsWhileAPeerRepeatedlyJoinsAndLeaves() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		this.cluster.run(10_000);
		for (int i = 0; i < 10; i++) {
			VmId peer = new VmId("b");
			EntryVmRecord entry = new EntryVmRecord(new LeaseId(70 + i), false, List.of("zone-1"));
			WriteOutcome written = this.cluster.store
				.write(StoreWrite.put(OwnershipKeys.entryVm(peer), entry.encode(), i));
			assertThat(written).isInstanceOf(WriteOutcome.Written.class);
			this.cluster.run(8_000);
			a.ownership.setLeavingVms(Set.of(peer));
			this.cluster.run(2_000);
			a.ownership.setLeavingVms(Set.of());
		}
		assertThat(a.count(OwnershipAction.PrepareRelease.class)).isZero();
	}

	@Test
	void releasesShardsCleanlyAtAShutdown() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		OwnershipCluster.Vm b = this.cluster.start("b");
		this.cluster.run(60_000);
		b.events.clear();
		a.perform(a.ownership.shutdown(a.time()));
		this.cluster.run(100);
		assertThat(a.events).endsWith(new OwnershipAction.ShutdownComplete());
		this.cluster.run(7_000);
		assertThat(this.cluster.owned("b")).isEqualTo(8);
		assertThat(b.events).hasSize(4)
			.allMatch((event) -> event instanceof OwnershipAction.ShardAcquired acquired && acquired.releasedCleanly());
	}

	@Test
	void reportsThatAReleasedShardStillHoldsBackWorkOfAnEarlierOwner() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		OwnershipCluster.Vm b = this.cluster.start("b");
		this.cluster.run(60_000);
		b.events.clear();
		a.cleanRelease = false;
		a.perform(a.ownership.shutdown(a.time()));
		this.cluster.run(8_000);
		assertThat(b.events).hasSize(4)
			.allMatch(
					(event) -> event instanceof OwnershipAction.ShardAcquired acquired && !acquired.releasedCleanly());
	}

	@Test
	void excludesAPeerThatDoesNotAcquireItsShards() {
		EntryVmRecord inactivePeer = new EntryVmRecord(new LeaseId(77), false, List.of("zone-1"));
		this.cluster.store
			.write(StoreWrite.put(OwnershipKeys.entryVm(new VmId("b")), inactivePeer.encode(), StoreWrite.ABSENT));
		this.cluster.start("a");
		this.cluster.run(3_000);
		assertThat(this.cluster.owned("a")).isEqualTo(4);
		this.cluster.run(10_000);
		assertThat(this.cluster.owned("a")).isEqualTo(8);
	}

	@Test
	void stopsWhenAnotherProcessRegistersUnderItsVmId() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		this.cluster.run(10_000);
		OwnershipCluster.Vm second = this.cluster.start("a");
		second.run();
		this.cluster.now = this.cluster.now.plusMillis(600);
		second.run();
		this.cluster.now = this.cluster.now.plusMillis(3_000);
		a.run();
		assertThat(a.count(OwnershipAction.ShardLost.class)).isEqualTo(8);
		assertThat(a.ownership.nextWakeUp()).isEmpty();
	}

	@Test
	void makesFewStoreCallsInTheSteadyState() {
		for (int i = 0; i < 7; i++) {
			this.cluster.start("vm-" + i);
		}
		this.cluster.run(120_000);
		this.cluster.vms.values().forEach((vm) -> vm.storeCalls = 0);
		this.cluster.run(60_000);
		assertThat(this.cluster.vms.values()).allMatch((vm) -> vm.storeCalls <= 62);
	}

	private static boolean isEntryVmList(OwnershipAction action) {
		return action instanceof OwnershipAction.ListRecords list
				&& list.prefix().equals(OwnershipKeys.ENTRY_VM_PREFIX);
	}

}
