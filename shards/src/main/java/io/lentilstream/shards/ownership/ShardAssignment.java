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
 * Plans which entry VM should own each shard of a scope. Entry VMs with the same view
 * compute the same plan, so that two of them rarely race for a shard. Present owners keep
 * their shards up to an even share; the rest is spread by rendezvous hashing.
 */
final class ShardAssignment {

	private ShardAssignment() {
	}

	/**
	 * Plans the owners.
	 * @param shards all shards of the scope
	 * @param owners the present owner of each shard that is not free
	 * @param eligible the live VMs that take shards
	 * @return the planned owner of each shard; shards held by other VMs are left out
	 */
	static Map<ShardId, VmId> plan(List<ShardId> shards, Map<ShardId, VmId> owners, Collection<VmId> eligible) {
		Map<VmId, List<ShardId>> held = new HashMap<>();
		eligible.forEach((vm) -> held.put(vm, new ArrayList<>()));
		List<ShardId> open = new ArrayList<>();
		int total = 0;
		for (ShardId shard : shards) {
			VmId owner = owners.get(shard);
			if (owner == null) {
				open.add(shard);
				total++;
			}
			else if (held.containsKey(owner)) {
				held.get(owner).add(shard);
				total++;
			}
		}
		Map<ShardId, VmId> plan = new HashMap<>();
		if (held.isEmpty()) {
			return plan;
		}
		Map<VmId, Integer> quotas = quotas(held, total);
		held.forEach((vm, kept) -> {
			kept.sort(Comparator.comparingLong((ShardId shard) -> weight(shard, vm)).reversed());
			int quota = quotas.get(vm);
			kept.subList(0, Math.min(quota, kept.size())).forEach((shard) -> plan.put(shard, vm));
			if (kept.size() > quota) {
				open.addAll(kept.subList(quota, kept.size()));
			}
			quotas.put(vm, Math.max(0, quota - kept.size()));
		});
		open.sort(Comparator.naturalOrder());
		for (ShardId shard : open) {
			Optional<VmId> taker = quotas.entrySet()
				.stream()
				.filter((entry) -> entry.getValue() > 0)
				.map(Map.Entry::getKey)
				.max(Comparator.comparingLong((VmId vm) -> weight(shard, vm)).thenComparing(Comparator.naturalOrder()));
			if (taker.isPresent()) {
				plan.put(shard, taker.get());
				quotas.merge(taker.get(), -1, Integer::sum);
			}
		}
		return plan;
	}

	/**
	 * Gives each VM an even share. The larger shares go to the VMs that hold most, so
	 * that no shard moves without need.
	 * @param held the shards that each VM holds
	 * @param total the number of shards to share
	 * @return the share of each VM
	 */
	private static Map<VmId, Integer> quotas(Map<VmId, List<ShardId>> held, int total) {
		List<VmId> order = new ArrayList<>(held.keySet());
		order.sort(Comparator.comparingInt((VmId vm) -> -held.get(vm).size()).thenComparing(Comparator.naturalOrder()));
		Map<VmId, Integer> quotas = new HashMap<>();
		for (int i = 0; i < order.size(); i++) {
			quotas.put(order.get(i), total / order.size() + ((i < total % order.size()) ? 1 : 0));
		}
		return quotas;
	}

	private static long weight(ShardId shard, VmId vm) {
		long hash = 0xcbf29ce484222325L;
		String text = shard + "@" + vm.value();
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
		}
		// FNV-1a alone leaves the last characters in the low bits; the finalizer of
		// MurmurHash3 spreads them.
		hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		return hash ^ (hash >>> 33);
	}

}
