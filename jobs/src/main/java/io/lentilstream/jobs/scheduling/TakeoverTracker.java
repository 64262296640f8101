package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.WorkerListing;

/**
 * Tracks the VMs that may still have runs of the predecessor and have not yet sent a
 * report. Load pattern: VMs that fail permanently shortly before the leader is replaced,
 * whose long-running tasks have to restart soon.
 */
final class TakeoverTracker {

	/**
	 * How long a VM has time for its first report even if its lease has expired, in
	 * milliseconds, since the report may tell of tasks that are done.
	 */
	private static final long MIN_WAIT_MILLIS = 1000;

	/**
	 * The number of missed heartbeats after which the platform removes a VM from its
	 * list.
	 */
	private static final int MISSED_HEARTBEATS = 3;

	/** How late a heartbeat may be, in milliseconds. */
	private static final long MAX_HEARTBEAT_DELAY_MILLIS = 200;

	/** One VM in this many, and fewer, are the last ones. */
	private static final int LAST_SHARE_DIVISOR = 3;

	private final SchedulerState state;

	/**
	 * The VMs to which the predecessor may have sent commands, and until when to wait for
	 * each, in milliseconds.
	 */
	private final Map<WorkerId, Long> waitUntil = new HashMap<>();

	/**
	 * Until when leases of the predecessor may last on each VM, unless the store ended
	 * its leadership early, in milliseconds.
	 */
	private final Map<WorkerId, Long> leasesUntil = new HashMap<>();

	/** The VMs that have not reported and are still waited for. */
	private final Set<WorkerId> unreported = new HashSet<>();

	private boolean completed;

	/** Whether the predecessor limits how long leases outlast its leadership. */
	private boolean leasesLimited;

	TakeoverTracker(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Starts to wait for the VMs to which the predecessor may have sent commands.
	 * @param predecessorWorkers the VMs
	 * @param leases the leases that the predecessor has left to expire
	 * @param predecessor what is known about its end
	 * @param now the current time in milliseconds
	 */
	void startWaiting(Collection<WorkerListing> predecessorWorkers, ExpiringLeases leases, Predecessor predecessor,
			long now) {
		this.leasesLimited = leases.inherited();
		for (WorkerListing listing : predecessorWorkers) {
			long remaining = Math.max(MIN_WAIT_MILLIS, leases.remainingAtTakeover(listing.id()));
			long until = now + Math.min(maxWaitMillis(), remaining);
			this.waitUntil.put(listing.id(), until);
			this.leasesUntil.put(listing.id(), predecessor.leaseExpired()
					? Math.min(until, predecessor.endedBy() + maxLeaseAfterLeadershipMillis()) : until);
			this.unreported.add(listing.id());
		}
	}

	/**
	 * Shortens the wait for a VM that was removed from the list for missed heartbeats.
	 * Such a VM has failed, or was partitioned from the store before the first heartbeat
	 * that it missed. A predecessor on its side of the partition lost the store at that
	 * time as well and stopped sending commands soon after.
	 * @param id the VM
	 * @param now the current time in milliseconds
	 */
	void shortenWait(WorkerId id, long now) {
		long unlistedAfter = this.state.settings.unlistedAfterMillis();
		long firstMissedAt = now - unlistedAfter * (MISSED_HEARTBEATS - 1) / MISSED_HEARTBEATS;
		long shortened = firstMissedAt + MAX_HEARTBEAT_DELAY_MILLIS + maxWaitMillis();
		this.waitUntil.computeIfPresent(id, (key, until) -> Math.min(until, shortened));
		this.leasesUntil.computeIfPresent(id, (key, until) -> Math.min(until, shortened));
	}

	/**
	 * Removes the VMs that have reported all their ends, have crashed or need not be
	 * waited for any more, and tells whether this completes the takeover.
	 * @param now the current time in milliseconds
	 * @return {@code true} once, when no VM is left to wait for
	 */
	boolean completesNow(long now) {
		if (this.completed) {
			return false;
		}
		this.unreported.removeIf((id) -> {
			Worker worker = this.state.workers.get(id);
			return worker == null || worker.hasReportedAllEnds || worker.replaced
					|| now > this.waitUntil.get(id) && runsNothing(worker, now);
		});
		this.completed = this.unreported.isEmpty();
		return this.completed;
	}

	// A VM that is lost after its first report never lists the rest of its ends.
	private static boolean runsNothing(Worker worker, long now) {
		return !worker.hasReported || worker.missedReports > 0 && worker.lease.certainlyExpired(now);
	}

	/**
	 * Rules out that tasks were started whose dependencies include a task that is still
	 * in progress, so that they need not wait for VMs that have not reported.
	 * @param run the run that a VM has reported to be in progress
	 * @param sent when the report was requested, in milliseconds
	 */
	void ruleOutDependents(Run run, long sent) {
		StepSpec.Traits traits = run.task.spec().traits();
		boolean earlyEndPossible = traits.speculative() || traits.gang();
		if (run.task.done || run.task.step.dependentsRuledOut || earlyEndPossible || run.worker.firstReportAt < 0
				|| sent - run.worker.firstReportAt <= ReportPoller.IDLE_WAIT_MILLIS) {
			return;
		}
		run.task.step.dependentsRuledOut = true;
		List<StepState> steps = run.task.job.occurrences.getOrDefault(run.task.step.occurrence, List.of());
		if (!steps.contains(run.task.step)) {
			return;
		}
		for (StepState step : dependents(steps, run.task.step)) {
			step.mayHaveUnknownRuns = false;
			step.tasks().forEach((task) -> task.possiblyRunning = false);
		}
	}

	private static List<StepState> dependents(List<StepState> steps, StepState origin) {
		List<StepState> found = new ArrayList<>(List.of(origin));
		for (StepState step : steps) {
			if (step.spec.dependsOn().stream().anyMatch((number) -> found.contains(steps.get(number)))) {
				found.add(step);
			}
		}
		found.remove(origin);
		return found;
	}

	/**
	 * Tells whether there are VMs that may have runs of the predecessor and have not
	 * reported.
	 * @return {@code true} until the takeover is complete
	 */
	boolean pending() {
		return !this.unreported.isEmpty();
	}

	boolean waitsFor(WorkerId id) {
		return this.unreported.contains(id);
	}

	/**
	 * Tells whether a VM is one of the last whose first report is missing, so that asking
	 * it again costs little and may complete the takeover.
	 * @param id the VM
	 * @return {@code false} if most VMs have not reported, or the VM is not waited for
	 */
	boolean amongLast(WorkerId id) {
		return this.unreported.size() * LAST_SHARE_DIVISOR <= this.waitUntil.size() && waitsFor(id);
	}

	/**
	 * Tells whether the predecessor may have sent commands to a VM.
	 * @param id the VM
	 * @return {@code true} if the takeover waited for it
	 */
	boolean waitedFor(WorkerId id) {
		return this.waitUntil.containsKey(id);
	}

	/**
	 * Returns how long leases that the predecessor granted may last.
	 * @param id the VM
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds; 0 if they have ended
	 */
	long remainingMillis(WorkerId id, long now) {
		return Math.max(0, this.waitUntil.getOrDefault(id, now) - now);
	}

	/**
	 * Returns how long leases that the predecessor granted may last if the store has not
	 * ended its leadership early.
	 * @param id the VM
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds, at most {@link #remainingMillis}
	 */
	long leaseRemainingMillis(WorkerId id, long now) {
		return Math.max(0, this.leasesUntil.getOrDefault(id, now) - now);
	}

	private long maxWaitMillis() {
		return this.state.settings.predecessorLeadershipMillis() + maxLeaseAfterLeadershipMillis();
	}

	private long maxLeaseAfterLeadershipMillis() {
		SchedulerSettings settings = this.state.settings;
		long lease = this.leasesLimited ? settings.leaseAfterLeadershipMillis() : settings.maxLeaseMillis();
		return SchedulerSettings.onOwnClock(lease);
	}

}
