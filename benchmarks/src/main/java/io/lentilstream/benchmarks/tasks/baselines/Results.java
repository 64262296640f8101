package io.lentilstream.benchmarks.tasks.baselines;

import java.util.List;
import java.util.Locale;

/**
 * Counts what one policy achieved.
 */
final class Results {

	private static final long URGENT_START_MILLIS = 3000;

	final String policy;

	/** Starts after which the tasks at a worker had more committed than the VM holds. */
	long overCommitments;

	/** Sightings, once per second, of a VM with more committed than it holds. */
	long overCommitmentsSeen;

	long starts;

	long memoryKills;

	long policyEvictions;

	long throttles;

	long refusedJobs;

	long failedTasks;

	long urgentTasks;

	/** Changes with the order, time and size of each arrival. */
	long arrivals;

	double finishedCoreSeconds;

	private double busyCoreSeconds;

	private double usedMegabyteSeconds;

	private long urgentInTime;

	private long urgentStarted;

	Results(String policy) {
		this.policy = policy;
	}

	void arrived(SimulatedJob job, List<SimulatedTask> tasks, long now) {
		for (SimulatedTask task : tasks) {
			this.arrivals = this.arrivals * 31 + task.real().hashCode() + Double.hashCode(task.runSeconds());
		}
		this.arrivals = this.arrivals * 31 + now;
		if (job.urgent()) {
			this.urgentTasks += job.count();
		}
	}

	void urgentStarted(long waitMillis) {
		this.urgentStarted++;
		if (waitMillis <= URGENT_START_MILLIS) {
			this.urgentInTime++;
		}
	}

	void finished(SimulatedTask task) {
		if (!task.urgent()) {
			this.finishedCoreSeconds += task.usefulCoreSeconds();
		}
	}

	void busy(double coreSeconds, double megabyteSeconds) {
		this.busyCoreSeconds += coreSeconds;
		this.usedMegabyteSeconds += megabyteSeconds;
	}

	long evictions() {
		return this.policyEvictions + this.memoryKills;
	}

	double urgentInTimeShare() {
		return (double) this.urgentInTime / Math.max(1, this.urgentTasks);
	}

	@Override
	public String toString() {
		return String.format(Locale.ROOT,
				"%s: batch %.0f core-s, evictions %d (%d decided, %d memory kills), urgent within 3 s %.2f%% of %d "
						+ "(%d started), over capacity %d at workers and %d seen in the shard, starts %d, busy %.0f core-s and %.0f GB-s, throttles %d, refused jobs %d, failed tasks %d",
				this.policy, this.finishedCoreSeconds, evictions(), this.policyEvictions, this.memoryKills,
				100 * urgentInTimeShare(), this.urgentTasks, this.urgentStarted, this.overCommitments,
				this.overCommitmentsSeen, this.starts, this.busyCoreSeconds, this.usedMegabyteSeconds / 1024,
				this.throttles, this.refusedJobs, this.failedTasks);
	}

}
