package io.lentilstream.jobs.scheduling;

import java.util.Collection;

/**
 * Keeps some VMs free of long-running tasks for urgent short tasks, which need reserved
 * processor time immediately. The headroom follows the recent peak demand of short tasks;
 * best-effort tasks use it in the meantime. Load pattern: long-running tasks that would
 * take up all capacity, and urgent jobs that arrive in bursts.
 */
final class HeadroomReserve {

	/**
	 * The minimum share of the capacity that is kept free, even without short tasks.
	 */
	private static final double MIN_SHARE = 0.05;

	/** The maximum share of the capacity that is kept free. */
	private static final double MAX_SHARE = 0.25;

	/** The factor by which the peak decays per update. */
	private static final double DECAY = 0.99;

	private final SchedulerState state;

	private double peakMilliCores;

	HeadroomReserve(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Updates the peak demand of short tasks. Must be called several times per second.
	 */
	void updatePeak() {
		long demand = 0;
		for (Worker worker : this.state.workers.values()) {
			demand += worker.reserved.milliCores() - worker.longRunningDemand;
		}
		for (Task task : this.state.waiting) {
			if (!task.spec().traits().longRunning() && !task.spec().traits().bestEffort()) {
				demand += task.spec().size().milliCores();
			}
		}
		this.peakMilliCores = Math.max(demand, this.peakMilliCores * DECAY);
	}

	/**
	 * Tells whether a long-running task may be placed on a VM without such tasks.
	 * @param task the task
	 * @return {@code false} if such VMs are needed as headroom
	 */
	boolean mayTakeFreeWorker(Task task) {
		Collection<Worker> workers = this.state.workers.values();
		double capacity = 0;
		double free = 0;
		long largest = 0;
		for (Worker worker : workers) {
			if (!worker.hasReported || worker.unlistedSince >= 0 || worker.missedReports > 0 || worker.evacuated
					|| !worker.listing.service().equals(task.job.policy.service())) {
				continue;
			}
			long cores = worker.listing.capacity().milliCores();
			capacity += cores;
			if (worker.longRunningDemand == 0) {
				free += cores;
				largest = Math.max(largest, cores);
			}
		}
		double required = Math.max(MIN_SHARE * capacity, Math.min(MAX_SHARE * capacity, this.peakMilliCores));
		return free - largest >= required;
	}

}
