package io.lentilstream.control.term;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import io.lentilstream.control.store.PrefixWatcher;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;

/**
 * Forwards changes of the platform's list of VMs to the registry, and determines whether
 * a VM that left the list must have been silent before.
 */
final class WorkerListListener implements PrefixWatcher.Listener {

	/**
	 * Time for VMs to be listed again after an outage of the store, in milliseconds.
	 */
	private static final long RELIST_MILLIS = 2000;

	private final Term.Dependencies dependencies;

	private final WorkerPlatform platform;

	private final WorkerRegistry registry;

	private final StoreStability storeStability;

	private final Runnable onBatchDelivered;

	private final Set<WorkerId> listedIds = new HashSet<>();

	private boolean initialListRead;

	WorkerListListener(Term.Dependencies dependencies, WorkerPlatform platform, WorkerRegistry registry,
			StoreStability storeStability, Runnable onBatchDelivered) {
		this.dependencies = dependencies;
		this.platform = platform;
		this.registry = registry;
		this.storeStability = storeStability;
		this.onBatchDelivered = onBatchDelivered;
	}

	@Override
	public void itemChanged(StoredItem item) {
		WorkerId id = new WorkerId(this.platform.workerIdOf(item.key()));
		if (!item.exists()) {
			workerUnlisted(id);
			return;
		}
		this.listedIds.add(id);
		Optional<WorkerListing> listing = this.platform.decode(item);
		if (listing.isPresent()) {
			this.registry.workerListed(listing.get());
		}
		else {
			this.dependencies.log().append("worker-unreadable", item.key(), "revision", item.revision());
		}
	}

	@Override
	public void batchDelivered() {
		if (!this.initialListRead) {
			this.initialListRead = true;
			this.registry.registered()
				.stream()
				.filter((id) -> !this.listedIds.contains(id))
				.forEach(this::workerUnlisted);
		}
		this.registry.store();
		this.onBatchDelivered.run();
	}

	private void workerUnlisted(WorkerId id) {
		this.registry.workerUnlisted(id, this.storeStability.unlistedMeansSilent(this.dependencies.loop().now()));
	}

	/**
	 * Decides whether the store has been up for long enough that a VM leaves the list
	 * only if it shuts down or is silent.
	 *
	 * @param storeStableSince returns since when the store has replied to all calls, on
	 * the steady clock in milliseconds
	 * @param unlistedAfterMillis time of silence after which the platform removes a VM
	 * from the list, in milliseconds
	 */
	record StoreStability(LongSupplier storeStableSince, long unlistedAfterMillis) {

		boolean unlistedMeansSilent(long now) {
			return now - this.storeStableSince.getAsLong() > this.unlistedAfterMillis + RELIST_MILLIS;
		}

	}

}
