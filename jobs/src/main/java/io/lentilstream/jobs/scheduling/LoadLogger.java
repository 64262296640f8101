package io.lentilstream.jobs.scheduling;

/**
 * Logs once a second how the VMs are used and what waits, so that a slow job can be told
 * from a full system.
 */
final class LoadLogger {

	private static final long PERIOD_MILLIS = 1000;

	private final SchedulerState state;

	private long nextAt = Long.MIN_VALUE;

	LoadLogger(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Logs a line if one is due.
	 * @param now the current time in milliseconds
	 */
	void logIfDue(long now) {
		if (now < this.nextAt) {
			return;
		}
		this.nextAt = now + PERIOD_MILLIS;
		long capacity = 0;
		long serving = 0;
		long plain = 0;
		long filling = 0;
		long paced = 0;
		int reachable = 0;
		for (Worker worker : this.state.workers.values()) {
			if (!worker.takesWork(now)) {
				continue;
			}
			reachable++;
			capacity += worker.listing.capacity().milliCores();
			serving += worker.servingDemand;
			plain += worker.plainDemand();
			filling += worker.fillDemand;
			paced += pacedDown(worker);
		}
		long fillsWaiting = 0;
		long othersWaiting = 0;
		for (Task task : this.state.waiting) {
			long size = task.spec().size().milliCores();
			fillsWaiting += task.spec().traits().bestEffort() ? size : 0;
			othersWaiting += task.spec().traits().bestEffort() ? 0 : size;
		}
		this.state.log.append("load", "workers", "usable", reachable, "known", this.state.workers.size(),
				"capacity-mcores", capacity, "serving-mcores", serving, "plain-mcores", plain, "filling-mcores",
				filling, "paced-mcores", paced, "filling-waits-mcores", fillsWaiting, "other-waits-mcores",
				othersWaiting);
	}

	private static long pacedDown(Worker worker) {
		long sum = 0;
		for (Run run : worker.runs.values()) {
			sum += run.task.spec().size().milliCores() * (100 - run.pace) / 100;
		}
		return sum;
	}

}
