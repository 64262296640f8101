package io.lentilstream.benchmarks.slopes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.VmId;
import io.lentilstream.shards.ownership.OwnershipAction;
import io.lentilstream.shards.ownership.OwnershipSettings;
import io.lentilstream.shards.ownership.ShardOwnership;
import io.lentilstream.shards.ownership.ShardScope;

/**
 * Measures the store calls per second of shard ownership at rest by the number of entry
 * VMs, each with the scopes of a zone and a region, in virtual time.
 */
final class OwnershipSlope implements SlopeMeasurement {

	private static final long STEP_MILLIS = 100;

	private static final int SETTLE_SECONDS = 120;

	private static final int VMS_PER_ZONE = 7;

	private static final int SHARDS_PER_ZONE = 8;

	private static final int REQUEST_SHARDS = 16;

	private final int[] entryVms;

	private final int seconds;

	OwnershipSlope(int[] entryVms, int seconds) {
		this.entryVms = entryVms;
		this.seconds = seconds;
	}

	@Override
	public List<Slope> measure() {
		List<SlopePoint> reads = new ArrayList<>();
		List<SlopePoint> writes = new ArrayList<>();
		for (int count : this.entryVms) {
			Cluster cluster = new Cluster(count);
			cluster.run(SETTLE_SECONDS);
			long readsBefore = cluster.store.reads();
			long writesBefore = cluster.store.writes();
			cluster.run(this.seconds);
			reads.add(new SlopePoint(count, (double) (cluster.store.reads() - readsBefore) / this.seconds));
			writes.add(new SlopePoint(count, (double) (cluster.store.writes() - writesBefore) / this.seconds));
		}
		return List.of(Slope.of("ownership-reads", "store reads/s", "entry VMs", reads),
				Slope.of("ownership-writes", "store writes/s", "entry VMs", writes));
	}

	/**
	 * Is a number of entry VMs with their store.
	 */
	private static final class Cluster {

		private final MemoryStore store = new MemoryStore();

		private final List<ShardOwnership> owners = new ArrayList<>();

		private MonotonicTime now = MonotonicTime.ofMillis(1);

		Cluster(int count) {
			for (int i = 0; i < count; i++) {
				List<ShardScope> scopes = List.of(new ShardScope("zone-" + i / VMS_PER_ZONE, SHARDS_PER_ZONE),
						new ShardScope("region", REQUEST_SHARDS));
				this.owners
					.add(new ShardOwnership(OwnershipSettings.defaults(), new VmId("entry-" + i), scopes, this.now));
			}
		}

		void run(int duration) {
			for (long i = 0; i < duration * 1_000L / STEP_MILLIS; i++) {
				this.now = this.now.plusMillis(STEP_MILLIS);
				for (ShardOwnership owner : this.owners) {
					carryOut(owner, owner.tick(this.now));
				}
			}
		}

		private void carryOut(ShardOwnership owner, List<OwnershipAction> first) {
			Deque<OwnershipAction> actions = new ArrayDeque<>(first);
			while (!actions.isEmpty()) {
				actions.addAll(next(owner, actions.remove()));
			}
		}

		private List<OwnershipAction> next(ShardOwnership owner, OwnershipAction action) {
			if (action instanceof OwnershipAction.GrantLease grant) {
				return owner.completed(this.now, grant.id(), this.store.grant());
			}
			if (action instanceof OwnershipAction.RenewLease renew) {
				return owner.completed(this.now, renew.id(), this.store.renew(renew.lease()));
			}
			if (action instanceof OwnershipAction.WriteRecord write) {
				return owner.completed(this.now, write.id(), this.store.write(write.write()));
			}
			if (action instanceof OwnershipAction.ReadRecord read) {
				return owner.completed(this.now, read.id(), this.store.read(read.key()));
			}
			if (action instanceof OwnershipAction.ListRecords list) {
				return owner.completed(this.now, list.id(), this.store.list(list.prefix()));
			}
			if (action instanceof OwnershipAction.PrepareRelease release) {
				return owner.releasePrepared(this.now, release.shard(), true);
			}
			return List.of();
		}

	}

}
