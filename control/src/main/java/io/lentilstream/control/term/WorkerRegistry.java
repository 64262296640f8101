package io.lentilstream.control.term;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.Commit;
import io.lentilstream.control.store.MetadataStore;
import io.lentilstream.control.store.StoreReply;
import io.lentilstream.control.store.StoredItem;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.scheduling.JobScheduler;

/**
 * Stores each VM before it receives its first command, so that a successor knows where
 * tasks may be running even if a VM has left the platform's list.
 */
final class WorkerRegistry {

	private static final long RETRY_DELAY_MILLIS = 200;

	private final EventLoop loop;

	private final MetadataStore store;

	private final JobScheduler scheduler;

	private final int term;

	private final FencingTokens tokens;

	private final Runnable onSuperseded;

	private final Map<WorkerId, WorkerListing> unstored = new LinkedHashMap<>();

	private final Set<WorkerId> registered = new HashSet<>();

	private long revision;

	private boolean inFlight;

	/** Whether the stored registry contains VMs that are gone. */
	private boolean outdated;

	private boolean stopped;

	WorkerRegistry(EventLoop loop, MetadataStore store, JobScheduler scheduler, int term, FencingTokens tokens,
			Runnable onSuperseded) {
		this.loop = loop;
		this.store = store;
		this.scheduler = scheduler;
		this.term = term;
		this.tokens = tokens;
		this.onSuperseded = onSuperseded;
	}

	void initialize(StoredItem item, RegisteredWorkers stored) {
		this.revision = item.exists() ? item.revision() : 0;
		stored.workers().forEach((worker) -> this.registered.add(worker.id()));
		if (stored.term() == this.term - 1) {
			this.scheduler.restoreExpiringLeases(stored.expiringLeases());
		}
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Forwards an entry of the list of VMs to the scheduler, once the VM is stored.
	 * @param listing the entry
	 */
	void workerListed(WorkerListing listing) {
		if (this.registered.contains(listing.id())) {
			this.scheduler.workerListed(listing);
			return;
		}
		this.unstored.put(listing.id(), listing);
	}

	void workerUnlisted(WorkerId id, boolean silent) {
		this.unstored.remove(id);
		this.scheduler.workerUnlisted(id, silent);
	}

	/**
	 * Returns the VMs that are in the stored registry.
	 * @return an immutable copy of their ids
	 */
	Set<WorkerId> registered() {
		return Set.copyOf(this.registered);
	}

	/**
	 * Stores the VMs that are waiting to be stored, removes those that are gone, since a
	 * successor would wait for them in vain, and records the leases of silent ones.
	 */
	void store() {
		if (this.stopped || this.inFlight) {
			return;
		}
		List<WorkerListing> all = new ArrayList<>(this.scheduler.workers());
		// From here on, a removed VM must be stored again before it receives commands.
		this.outdated |= this.registered.retainAll(all.stream().map(WorkerListing::id).toList());
		if (this.unstored.isEmpty() && !this.outdated && !this.scheduler.expiringLeasesDue()) {
			return;
		}
		Map<WorkerId, Long> expiringLeases = this.scheduler.recordExpiringLeases();
		this.inFlight = true;
		List<WorkerListing> added = List.copyOf(this.unstored.values());
		all.addAll(added);
		Commit commit = new Commit().require(Leadership.LEADER_KEY, this.tokens.elected())
			.require(JobKeys.WORKERS, this.revision)
			.write(JobKeys.WORKERS, new RegisteredWorkers(all, expiringLeases, this.term).encode(), 0);
		this.store.commit(commit, (reply) -> stored(added, expiringLeases, reply));
	}

	private void stored(List<WorkerListing> added, Map<WorkerId, Long> expiringLeases, StoreReply<Long> reply) {
		this.inFlight = false;
		if (this.stopped) {
			return;
		}
		if (reply instanceof StoreReply.Ok<Long> stored) {
			this.revision = stored.value();
			this.tokens.committed(stored.value());
			this.outdated = false;
			this.scheduler.expiringLeasesStored(expiringLeases);
			added.forEach((worker) -> this.registered.add(worker.id()));
			added.forEach(this::reportListed);
			this.scheduler.tick();
			store();
			return;
		}
		if (reply instanceof StoreReply.Conflict<Long> conflict) {
			for (StoredItem item : conflict.items()) {
				if (item.key().equals(Leadership.LEADER_KEY) && item.revision() != this.tokens.elected()) {
					this.onSuperseded.run();
					return;
				}
				if (item.key().equals(JobKeys.WORKERS)) {
					this.revision = item.exists() ? item.revision() : 0;
				}
			}
		}
		this.loop.schedule(RETRY_DELAY_MILLIS, this::store);
	}

	private void reportListed(WorkerListing added) {
		WorkerListing latest = this.unstored.remove(added.id());
		if (latest != null) {
			this.scheduler.workerListed(latest);
		}
	}

}
