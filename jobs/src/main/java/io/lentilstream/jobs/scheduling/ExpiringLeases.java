package io.lentilstream.jobs.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.lentilstream.jobs.WorkerId;

/**
 * The leases of silent VMs, which are left to expire. They are stored with the time that
 * they may last, so that a successor continues the wait for such a VM instead of
 * beginning it anew. A VM in a stored record receives neither leases nor starts until a
 * record without it is stored. Load pattern: VMs that are lost shortly before several
 * changes of the leader, as in a rolling restart.
 */
final class ExpiringLeases {

	/** How long a VM is silent before its lease is left to expire, in milliseconds. */
	private static final long MIN_SILENCE_MILLIS = 1000;

	/**
	 * The interval between records while leases are about to expire, in milliseconds.
	 */
	private static final long RECORD_INTERVAL_MILLIS = 500;

	private final SchedulerState state;

	private final TakeoverTracker takeover;

	/** The record of the predecessor; {@code null} if it has stored none. */
	private Map<WorkerId, Long> inherited;

	/** The last record that this scheduler has certainly stored. */
	private Map<WorkerId, Long> stored = Map.of();

	/** The VMs in the records of this scheduler that may be stored. */
	private final Set<WorkerId> promised = new HashSet<>();

	private boolean anyStored;

	private long nextRecordAt;

	ExpiringLeases(SchedulerState state, TakeoverTracker takeover) {
		this.state = state;
		this.takeover = takeover;
	}

	/**
	 * Continues with the record that the predecessor has stored.
	 * @param record how long the lease of each VM may last, in milliseconds
	 */
	void restore(Map<WorkerId, Long> record) {
		this.inherited = Map.copyOf(record);
	}

	/**
	 * Tells whether the predecessor has stored a record. Other predecessors may be of
	 * versions whose leases outlast their leadership by the longest lease.
	 * @return {@code true} if it has
	 */
	boolean inherited() {
		return this.inherited != null;
	}

	/**
	 * Tells how long the lease of a VM may last according to the predecessor.
	 * @param id the VM
	 * @return the time in milliseconds, or the greatest value if it is not recorded
	 */
	long remainingAtTakeover(WorkerId id) {
		return inherited() ? this.inherited.getOrDefault(id, Long.MAX_VALUE) : Long.MAX_VALUE;
	}

	/**
	 * Marks a VM that has become known.
	 * @param worker the VM
	 */
	void workerAdded(Worker worker) {
		worker.leaseLeftToExpire = this.promised.contains(worker.id());
	}

	/**
	 * Tells whether a new record should be stored.
	 * @param now the current time in milliseconds
	 * @return {@code true} if VMs wait for one or successors would wait too long
	 */
	boolean due(long now) {
		Set<WorkerId> silent = current(now).keySet();
		if (!this.anyStored || !silent.containsAll(this.promised)) {
			return true;
		}
		boolean outdated = !this.stored.keySet().containsAll(silent)
				|| this.stored.values().stream().anyMatch((remaining) -> remaining > 0);
		return outdated && now >= this.nextRecordAt;
	}

	/**
	 * Returns a record that is about to be stored. From now on, its VMs receive neither
	 * leases nor starts.
	 * @param now the current time in milliseconds
	 * @return how long the lease of each silent VM may last, in milliseconds
	 */
	Map<WorkerId, Long> record(long now) {
		this.nextRecordAt = now + RECORD_INTERVAL_MILLIS;
		Map<WorkerId, Long> record = current(now);
		this.promised.addAll(record.keySet());
		this.state.workers.values().forEach(this::workerAdded);
		return record;
	}

	/**
	 * Handles that a record has replaced all earlier ones.
	 * @param record the record
	 */
	void recordStored(Map<WorkerId, Long> record) {
		if (!record.keySet().equals(this.stored.keySet())) {
			this.state.log.append("leases-left-to-expire", "scheduler", "workers", record.size(), "longest-ms",
					record.values().stream().mapToLong(Long::longValue).max().orElse(0));
		}
		this.anyStored = true;
		this.stored = Map.copyOf(record);
		this.promised.clear();
		this.promised.addAll(record.keySet());
		this.state.workers.values().forEach(this::workerAdded);
	}

	private Map<WorkerId, Long> current(long now) {
		Map<WorkerId, Long> remaining = new HashMap<>();
		for (Worker worker : this.state.workers.values()) {
			if (leftToExpire(worker, now) && leasesKnown(worker)) {
				remaining.put(worker.id(),
						Math.max(worker.lease.remainingMillis(now), this.takeover.remainingMillis(worker.id(), now)));
			}
		}
		return remaining;
	}

	// A VM that the predecessor left to expire stays so until it reports to this leader.
	private boolean leftToExpire(Worker worker, long now) {
		if (!worker.hasReported) {
			return worker.missedReports > 0 || inherited() && this.inherited.containsKey(worker.id());
		}
		return worker.missedReports > 0 && now - worker.lastReportAt >= MIN_SILENCE_MILLIS;
	}

	// A start that was meant for an earlier incarnation may still be carried out.
	private boolean leasesKnown(Worker worker) {
		return worker.lease.clockKnown() || this.takeover.waitedFor(worker.id()) && worker.runs.isEmpty();
	}

}
