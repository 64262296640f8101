package io.lentilstream.jobs.scheduling;

import java.util.function.LongSupplier;

/**
 * Logs the utilization of the VMs and the demand of waiting tasks once per second, so
 * that a slow job can be distinguished from a fully loaded system.
 */
final class LoadLogger {

	private static final long PERIOD_MILLIS = 1000;

	private static final long KIB = 1024;

	private final SchedulerState state;

	private final RoomLogger roomLogger;

	private final WaitReasonLogger waitReasonLogger;

	private final JobMemory memory;

	private long nextAt = Long.MIN_VALUE;

	LoadLogger(SchedulerState state, LongSupplier timeOfDay, WorkerSelector workerSelector, JobMemory memory) {
		this.memory = memory;
		this.state = state;
		this.waitReasonLogger = new WaitReasonLogger(state, workerSelector);
		this.roomLogger = new RoomLogger(state, new JobTimesLogger(state, timeOfDay));
	}

	/**
	 * Logs the load if a log line is due.
	 * @param now the current time in milliseconds
	 */
	void logIfDue(long now) {
		if (now < this.nextAt) {
			return;
		}
		this.nextAt = now + PERIOD_MILLIS;
		this.roomLogger.log(now);
		this.waitReasonLogger.log(now);
		long capacity = 0;
		long serving = 0;
		long regular = 0;
		long bestEffort = 0;
		long throttled = 0;
		int usable = 0;
		for (Worker worker : this.state.workers.values()) {
			if (!worker.acceptsTasks(now)) {
				continue;
			}
			usable++;
			capacity += worker.listing.capacity().milliCores();
			serving += worker.servingDemand;
			regular += worker.regularDemand();
			bestEffort += worker.bestEffortDemand;
			throttled += throttledMilliCores(worker);
		}
		long bestEffortWaiting = 0;
		long othersWaiting = 0;
		for (Task task : this.state.waiting) {
			long size = task.spec().size().milliCores();
			bestEffortWaiting += task.spec().traits().bestEffort() ? size : 0;
			othersWaiting += task.spec().traits().bestEffort() ? 0 : size;
		}
		this.state.log.append("job-memory", "jobs", "known", this.state.jobs.size(), "used-kb",
				this.memory.usedBytes() / KIB, "free-kb", this.memory.freeBytes() / KIB);
		this.state.log.append("load", "workers", "usable", usable, "known", this.state.workers.size(),
				"capacity-mcores", capacity, "serving-mcores", serving, "plain-mcores", regular, "filling-mcores",
				bestEffort, "tasks-not-created", this.state.taskFeeder.uncreatedTasks(), "paced-mcores", throttled,
				"filling-waits-mcores", bestEffortWaiting, "other-waits-mcores", othersWaiting);
	}

	private static long throttledMilliCores(Worker worker) {
		long sum = 0;
		for (Run run : worker.runs.values()) {
			sum += run.task.spec().size().milliCores() * (100 - run.speedPercent) / 100;
		}
		return sum;
	}

}
