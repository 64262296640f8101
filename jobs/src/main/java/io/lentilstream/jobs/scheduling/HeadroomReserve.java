package io.lentilstream.jobs.scheduling;

import java.util.Collection;

/**
 * Keeps some VMs free of long-running tasks for short urgent ones, which need reserved
 * processor time at once. The headroom follows the peak of what short tasks asked for
 * lately; meanwhile filling tasks use it. Load pattern: long-running tasks that would
 * take all of the capacity, and urgent jobs that come in bursts.
 */
final class HeadroomReserve {

	/** Part of the capacity that is kept free before any short task was seen. */
	private static final double LEAST_SHARE = 0.05;

	/** Largest part of the capacity that is kept free. */
	private static final double MOST_SHARE = 0.25;

	/** Part of the peak that is left after a review. */
	private static final double DECAY = 0.99;

	private final SchedulerState state;

	private double peakMilliCores;

	HeadroomReserve(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Notes what short tasks ask for. Must be called a few times a second.
	 */
	void review() {
		long demand = 0;
		for (Worker worker : this.state.workers.values()) {
			demand += worker.reserved.milliCores() - worker.lastingDemand;
		}
		for (Task task : this.state.waiting) {
			if (!task.spec().traits().longRunning() && !task.spec().traits().bestEffort()) {
				demand += task.spec().size().milliCores();
			}
		}
		this.peakMilliCores = Math.max(demand, this.peakMilliCores * DECAY);
	}

	/**
	 * Tells whether a long-running task may take a VM that has none yet.
	 * @param task the task
	 * @return {@code false} if the VM has to stay free
	 */
	boolean mayTakeFreeWorker(Task task) {
		Collection<Worker> workers = this.state.workers.values();
		double capacity = 0;
		double free = 0;
		long largest = 0;
		for (Worker worker : workers) {
			if (!worker.opened || worker.unlistedSince >= 0 || worker.silent > 0
					|| !worker.listing.service().equals(task.job.policy.service())) {
				continue;
			}
			long cores = worker.listing.capacity().milliCores();
			capacity += cores;
			if (worker.lastingDemand == 0) {
				free += cores;
				largest = Math.max(largest, cores);
			}
		}
		double wanted = Math.max(LEAST_SHARE * capacity, Math.min(MOST_SHARE * capacity, this.peakMilliCores));
		return free - largest >= wanted;
	}

}
