package io.lentilstream.jobs.scheduling;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;

/**
 * Says which VMs may still run tasks of the predecessor without a report that shows them.
 * Load pattern: VMs that are lost for good shortly before the leader is replaced, whose
 * long-running tasks have to be back soon.
 */
final class TakeoverTracker {

	private final SchedulerState state;

	/** The VMs that have not reported, and until when to wait, in milliseconds. */
	private final Map<WorkerId, Long> unsettled = new HashMap<>();

	TakeoverTracker(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Waits for the VMs to which the predecessor may have given orders.
	 * @param predecessorWorkers the VMs
	 * @param now the current time in milliseconds
	 */
	void begin(Collection<WorkerListing> predecessorWorkers, long now) {
		for (WorkerListing listing : predecessorWorkers) {
			this.unsettled.put(listing.id(), now + longestMillis());
		}
	}

	/**
	 * Waits less for a VM that the list has dropped for its silence. Such a VM is gone,
	 * or was cut off at its last sign of life. A predecessor on its side of the cut lost
	 * the store then too, and gave no orders for much longer.
	 * @param id the VM
	 * @param now the current time in milliseconds
	 */
	void droppedForSilence(WorkerId id, long now) {
		long silentSince = now - this.state.settings.unlistedAfterMillis();
		this.unsettled.computeIfPresent(id, (key, until) -> Math.min(until, silentSince + longestMillis()));
	}

	/**
	 * Tells whether the last VM has just been settled.
	 * @param now the current time in milliseconds
	 * @return {@code true} once
	 */
	boolean completes(long now) {
		if (this.unsettled.isEmpty()) {
			return false;
		}
		this.unsettled.entrySet().removeIf((entry) -> {
			Worker worker = this.state.workers.get(entry.getKey());
			return worker == null || worker.opened || now > entry.getValue();
		});
		return this.unsettled.isEmpty();
	}

	boolean waitsFor(WorkerId id) {
		return this.unsettled.containsKey(id);
	}

	// The clock of a VM may run slow, so that its leases last longer.
	private long longestMillis() {
		SchedulerSettings settings = this.state.settings;
		return settings.predecessorLeadershipMillis() + settings.maxLeaseMillis() * 21 / 20;
	}

}
