package io.lentilstream.jobs.scheduling;

import io.lentilstream.model.ServiceName;

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
	 * Returns the use of a service by long-running tasks.
	 * @param service the service
	 * @return the use by the tasks that run now
	 */
	Use use(ServiceName service) {
		double capacity = 0;
		double longRunning = 0;
		double free = 0;
		double largestFree = 0;
		for (Worker worker : this.state.workers.values()) {
			if (!worker.hasReported || worker.unlistedSince >= 0 || worker.missedReports > 0 || worker.evacuated
					|| !worker.listing.service().equals(service)) {
				continue;
			}
			long cores = worker.listing.capacity().milliCores();
			capacity += cores;
			longRunning += worker.longRunningDemand;
			if (worker.longRunningDemand == 0) {
				free += cores;
				largestFree = Math.max(largestFree, cores);
			}
		}
		double required = Math.max(MIN_SHARE * capacity, Math.min(MAX_SHARE * capacity, this.peakMilliCores));
		return new Use(capacity, longRunning, free, largestFree, required);
	}

	/**
	 * The use of the processor time of a service by long-running tasks, in thousandths of
	 * a core.
	 *
	 * @param capacity the capacity of the VMs
	 * @param longRunning the processor time that long-running tasks reserve
	 * @param free the capacity of the VMs without such tasks
	 * @param largestFree the capacity of the largest of these
	 * @param required what urgent tasks have needed lately
	 */
	record Use(double capacity, double longRunning, double free, double largestFree, double required) {

		/**
		 * Tells whether a long-running task may be placed on a VM without such tasks.
		 * @return {@code false} if such VMs are needed as headroom
		 */
		boolean mayTakeFreeWorker() {
			return this.free - this.largestFree >= this.required;
		}

		/**
		 * Tells whether long-running tasks leave the largest headroom that is ever kept,
		 * also beside another one.
		 * @param task the task
		 * @return {@code false} if urgent tasks may need the processor time
		 */
		boolean isAmpleBeside(Task task) {
			double unused = this.capacity - this.longRunning - task.spec().reserved().milliCores();
			return unused >= MAX_SHARE * this.capacity;
		}

	}

}
