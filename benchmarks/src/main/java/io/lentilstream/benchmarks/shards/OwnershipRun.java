package io.lentilstream.benchmarks.shards;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.VmId;
import io.lentilstream.shards.ownership.OwnershipAction;
import io.lentilstream.shards.ownership.OwnershipSettings;
import io.lentilstream.shards.ownership.ShardOwnership;
import io.lentilstream.shards.ownership.ShardScope;

/**
 * Runs the ownership of entry VMs against one store in virtual time, without delays of
 * the network.
 */
final class OwnershipRun {

	private static final long STEP_MILLIS = 10;

	private final MemoryStore store = new MemoryStore();

	private final List<ShardScope> scopes;

	private final Map<String, ShardOwnership> vms = new TreeMap<>();

	private final Map<String, LeaseId> leases = new TreeMap<>();

	private MonotonicTime now = MonotonicTime.ofMillis(0);

	OwnershipRun(List<ShardScope> scopes) {
		this.scopes = scopes;
	}

	MemoryStore store() {
		return this.store;
	}

	void start(String name) {
		this.vms.put(name, new ShardOwnership(OwnershipSettings.defaults(), new VmId(name), this.scopes, this.now));
	}

	void run(long millis) {
		for (long i = 0; i < millis; i += STEP_MILLIS) {
			this.now = this.now.plusMillis(STEP_MILLIS);
			this.store.expire(this.now);
			this.vms.forEach((name, vm) -> {
				if (vm.nextWakeUp().filter((time) -> !this.now.isBefore(time)).isPresent()) {
					carryOut(name, vm, vm.tick(this.now));
				}
			});
		}
	}

	/**
	 * Kills a VM and runs until the others own all shards.
	 * @param name the VM
	 * @param shards the number of shards
	 * @return milliseconds from the end of its lease
	 */
	long takeOverMillis(String name, int shards) {
		this.vms.remove(name);
		MonotonicTime end = this.store.endOf(this.leases.get(name));
		while (this.vms.values().stream().mapToInt((vm) -> vm.ownedShards().size()).sum() < shards) {
			run(STEP_MILLIS);
		}
		return end.millisUntil(this.now);
	}

	private void carryOut(String name, ShardOwnership vm, List<OwnershipAction> actions) {
		List<OwnershipAction> todo = new ArrayList<>(actions);
		while (!todo.isEmpty()) {
			OwnershipAction action = todo.remove(0);
			if (action instanceof OwnershipAction.GrantLease grant) {
				todo.addAll(
						vm.completed(this.now, grant.id(), this.store.grant(this.now, grant.duration().toMillis())));
			}
			else if (action instanceof OwnershipAction.RenewLease renew) {
				this.leases.put(name, renew.lease());
				todo.addAll(vm.completed(this.now, renew.id(), this.store.renew(this.now, renew.lease())));
			}
			else if (action instanceof OwnershipAction.WriteRecord write) {
				todo.addAll(vm.completed(this.now, write.id(), this.store.write(write.write())));
			}
			else if (action instanceof OwnershipAction.ReadRecord read) {
				todo.addAll(vm.completed(this.now, read.id(), this.store.read(read.key())));
			}
			else if (action instanceof OwnershipAction.ListRecords list) {
				todo.addAll(vm.completed(this.now, list.id(), this.store.list(list.prefix())));
			}
			else if (action instanceof OwnershipAction.PrepareRelease release) {
				todo.addAll(vm.releasePrepared(this.now, release.shard(), true));
			}
		}
	}

}
