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
 * Guards against two valid owners of a shard, uneven spread, slow takeover and flapping.
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
	void takesOverWithinTheListIntervalAfterTheLeaseLapsed() {
		this.cluster.start("a");
		this.cluster.start("b");
		this.cluster.run(60_000);
		this.cluster.vms.get("a").paused = true;
		this.cluster.run(10_000 + 2_100);
		assertThat(this.cluster.owned("b")).isEqualTo(8);
		assertThat(this.cluster.vms.get("b").events).filteredOn(OwnershipAction.ShardAcquired.class::isInstance)
			.map(OwnershipAction.ShardAcquired.class::cast)
			.filteredOn((gained) -> !gained.releasedCleanly())
			.hasSize(4)
			.allMatch((gained) -> gained.previousOwner().equals(java.util.Optional.of(new VmId("a"))));
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
		a.cutOff = true;
		this.cluster.run(8_500);
		assertThat(a.count(OwnershipAction.ShardSuspended.class)).isEqualTo(8);
		a.cutOff = false;
		this.cluster.run(500);
		assertThat(a.count(OwnershipAction.ShardResumed.class)).isEqualTo(8);
		assertThat(a.count(OwnershipAction.ShardLost.class)).isZero();
	}

	@Test
	void takesItsShardsAgainWithAHigherEpochAfterALongOutage() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		this.cluster.run(10_000);
		a.cutOff = true;
		this.cluster.run(60_000);
		assertThat(a.count(OwnershipAction.ShardLost.class)).as("lost only once the store says so").isZero();
		a.cutOff = false;
		this.cluster.run(5_000);
		assertThat(a.count(OwnershipAction.ShardLost.class)).isEqualTo(8);
		assertThat(a.ownership.ownedShards()).hasSize(8)
			.allSatisfy((shard, epoch) -> assertThat(epoch).isEqualTo(new Epoch(2)));
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void settlesATakeWithoutAReply(boolean applied) {
		OwnershipCluster.Vm a = this.cluster.start("a");
		while (!(a.calls.peek() instanceof OwnershipAction.WriteRecord write
				&& write.write().key().equals(OwnershipCluster.owner(0)))) {
			if (a.calls.isEmpty()) {
				this.cluster.now = this.cluster.now.plusMillis(100);
				a.take(a.ownership.tick(a.time()));
			}
			else {
				a.step();
			}
		}
		a.loseNextReply = applied;
		a.loseNextWrite = !applied;
		this.cluster.run(5_000);
		assertThat(a.ownership.ownedShards()).containsEntry(new ShardId("zone-1", 0), new Epoch(1));
	}

	@Test
	void leavesAShardAloneWhoseOwnerRegisteredAfterTheEntriesWereListed() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		a.take(a.ownership.tick(a.time()));
		OwnershipAction.WriteRecord take = null;
		while (!a.calls.isEmpty()) {
			if (a.calls.peek() instanceof OwnershipAction.WriteRecord write
					&& write.write().key().equals(OwnershipCluster.owner(0))) {
				take = write;
				a.calls.remove();
				continue;
			}
			a.step();
		}
		// While the take is under way, the entries are listed, and then a peer registers
		// and takes the shard. The conflict tells of the peer's record before the list,
		// which lacks the peer's entry, arrives.
		this.cluster.now = this.cluster.now.plusMillis(2_000);
		a.take(a.ownership.tick(a.time()));
		while (!isEntriesList(a.calls.peek())) {
			a.step();
		}
		OwnershipAction.ListRecords list = (OwnershipAction.ListRecords) a.calls.remove();
		ListOutcome stale = this.cluster.store.list(OwnershipKeys.ENTRIES);
		LeaseId lease = new LeaseId(77);
		EntryVmRecord entry = new EntryVmRecord(lease, false, List.of("zone-1"));
		OwnershipRecord record = OwnershipRecord.taken(new VmId("b"), lease, new Epoch(1));
		this.cluster.store.write(StoreWrite.put(OwnershipKeys.entry(new VmId("b")), entry.encode(), StoreWrite.ABSENT));
		this.cluster.store.write(StoreWrite.put(OwnershipCluster.owner(0), record.encode(), StoreWrite.ABSENT));
		a.take(a.ownership.completed(a.time(), take.id(), this.cluster.store.write(take.write())));
		a.take(a.ownership.completed(a.time(), list.id(), stale));
		while (!a.calls.isEmpty()) {
			a.step();
		}
		assertThat(a.ownership.ownedShards()).hasSize(7).doesNotContainKey(new ShardId("zone-1", 0));
	}

	@Test
	void keepsItsSurplusWhileAPeerComesAndGoes() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		this.cluster.run(10_000);
		for (int i = 0; i < 10; i++) {
			VmId peer = new VmId("b");
			EntryVmRecord entry = new EntryVmRecord(new LeaseId(70 + i), false, List.of("zone-1"));
			WriteOutcome written = this.cluster.store
				.write(StoreWrite.put(OwnershipKeys.entry(peer), entry.encode(), i));
			assertThat(written).isInstanceOf(WriteOutcome.Written.class);
			this.cluster.run(8_000);
			a.ownership.setLeavingVms(Set.of(peer));
			this.cluster.run(2_000);
			a.ownership.setLeavingVms(Set.of());
		}
		assertThat(a.count(OwnershipAction.PrepareRelease.class)).isZero();
	}

	@Test
	void givesShardsBackCleanlyAtAShutdown() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		OwnershipCluster.Vm b = this.cluster.start("b");
		this.cluster.run(60_000);
		b.events.clear();
		a.take(a.ownership.shutdown(a.time()));
		this.cluster.run(100);
		assertThat(a.events).endsWith(new OwnershipAction.ShutdownComplete());
		this.cluster.run(7_000);
		assertThat(this.cluster.owned("b")).isEqualTo(8);
		assertThat(b.events).hasSize(4)
			.allMatch((event) -> event instanceof OwnershipAction.ShardAcquired gained && gained.releasedCleanly());
	}

	@Test
	void passesOnThatAReleasedShardStillHoldsBackWorkOfAnEarlierOwner() {
		OwnershipCluster.Vm a = this.cluster.start("a");
		OwnershipCluster.Vm b = this.cluster.start("b");
		this.cluster.run(60_000);
		b.events.clear();
		a.nothingHeldBack = false;
		a.take(a.ownership.shutdown(a.time()));
		this.cluster.run(8_000);
		assertThat(b.events).hasSize(4)
			.allMatch((event) -> event instanceof OwnershipAction.ShardAcquired gained && !gained.releasedCleanly());
	}

	@Test
	void plansWithoutAPeerThatDoesNotTakeItsShards() {
		EntryVmRecord stuck = new EntryVmRecord(new LeaseId(77), false, List.of("zone-1"));
		this.cluster.store.write(StoreWrite.put(OwnershipKeys.entry(new VmId("b")), stuck.encode(), StoreWrite.ABSENT));
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

	private static boolean isEntriesList(OwnershipAction action) {
		return action instanceof OwnershipAction.ListRecords list && list.prefix().equals(OwnershipKeys.ENTRIES);
	}

}
