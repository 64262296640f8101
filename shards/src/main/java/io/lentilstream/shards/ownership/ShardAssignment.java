package io.lentilstream.shards.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

/**
 * Computes which entry VM should own each shard of a scope. Entry VMs with the same view
 * compute the same plan, so that they rarely compete for a shard. Current owners keep
 * their shards up to an even share; the remaining shards are assigned by rendezvous
 * hashing.
 */
final class ShardAssignment {

	private ShardAssignment() {
	}

	/**
	 * Computes the planned owners.
	 * @param shards all shards of the scope
	 * @param owners the current owner of each shard that is not free
	 * @param eligible the live VMs that may own shards
	 * @return the planned owner of each shard; empty without eligible VMs, and without
	 * the shards of owners that are not eligible
	 */
	static Map<ShardId, VmId> plan(List<ShardId> shards, Map<ShardId, VmId> owners, Collection<VmId> eligible) {
		Map<VmId, List<ShardId>> shardsByOwner = new HashMap<>();
		eligible.forEach((vm) -> shardsByOwner.put(vm, new ArrayList<>()));
		List<ShardId> unassigned = new ArrayList<>();
		int total = 0;
		for (ShardId shard : shards) {
			VmId owner = owners.get(shard);
			if (owner == null) {
				unassigned.add(shard);
				total++;
			}
			else if (shardsByOwner.containsKey(owner)) {
				shardsByOwner.get(owner).add(shard);
				total++;
			}
		}
		Map<ShardId, VmId> plan = new HashMap<>();
		if (shardsByOwner.isEmpty()) {
			return plan;
		}
		Map<VmId, Integer> quotas = quotas(shardsByOwner, total);
		shardsByOwner.forEach((vm, shardsOfVm) -> {
			shardsOfVm.sort(Comparator.comparingLong((ShardId shard) -> weight(shard, vm)).reversed());
			int quota = quotas.get(vm);
			shardsOfVm.subList(0, Math.min(quota, shardsOfVm.size())).forEach((shard) -> plan.put(shard, vm));
			if (shardsOfVm.size() > quota) {
				unassigned.addAll(shardsOfVm.subList(quota, shardsOfVm.size()));
			}
			quotas.put(vm, Math.max(0, quota - shardsOfVm.size()));
		});
		unassigned.sort(Comparator.naturalOrder());
		for (ShardId shard : unassigned) {
			Optional<VmId> target = quotas.entrySet()
				.stream()
				.filter((entry) -> entry.getValue() > 0)
				.map(Map.Entry::getKey)
				.max(Comparator.comparingLong((VmId vm) -> weight(shard, vm)).thenComparing(Comparator.naturalOrder()));
			if (target.isPresent()) {
				plan.put(shard, target.get());
				quotas.merge(target.get(), -1, Integer::sum);
			}
		}
		return plan;
	}

	/**
	 * Computes an even share for each VM. If the shares differ by one, the VMs that own
	 * the most shards get the larger ones, so that no shard moves unnecessarily.
	 * @param shardsByOwner the shards that each VM owns
	 * @param total the number of shards to assign
	 * @return the share of each VM
	 */
	private static Map<VmId, Integer> quotas(Map<VmId, List<ShardId>> shardsByOwner, int total) {
		List<VmId> sortedVms = new ArrayList<>(shardsByOwner.keySet());
		sortedVms.sort(Comparator.comparingInt((VmId vm) -> -shardsByOwner.get(vm).size())
			.thenComparing(Comparator.naturalOrder()));
		Map<VmId, Integer> quotas = new HashMap<>();
		for (int i = 0; i < sortedVms.size(); i++) {
			quotas.put(sortedVms.get(i), total / sortedVms.size() + ((i < total % sortedVms.size()) ? 1 : 0));
		}
		return quotas;
	}

	private static long weight(ShardId shard, VmId vm) {
		long hash = 0xcbf29ce484222325L;
		String text = shard + "@" + vm.value();
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
		}
		// With FNV-1a alone the last characters affect mainly the low bits; a step of the
		// MurmurHash3 finalizer spreads them to the others.
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		return hash ^ (hash >>> 33);
	}

}
