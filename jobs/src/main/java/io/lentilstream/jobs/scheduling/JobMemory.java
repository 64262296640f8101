package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.JobCost;

/**
 * Counts the memory that the accepted jobs take, so that no more are accepted than a
 * leader and its successors can hold.
 */
final class JobMemory {

	private final SchedulerState state;

	private final EndedJobs endedJobs;

	private long activeBytes;

	JobMemory(SchedulerState state, EndedJobs endedJobs) {
		this.state = state;
		this.endedJobs = endedJobs;
	}

	/**
	 * Counts anew, since tasks have been created and jobs have ended.
	 */
	void update() {
		long bytes = 0;
		for (Job job : this.state.jobs.values()) {
			bytes += job.memoryBytes();
		}
		this.activeBytes = bytes;
	}

	void jobAdded(Job job) {
		this.activeBytes += job.memoryBytes();
	}

	long usedBytes() {
		return this.activeBytes + (long) this.endedJobs.count() * JobCost.ENDED_JOB_BYTES;
	}

	/**
	 * Returns the memory that further jobs may take.
	 * @return the number of bytes; 0 if there is none
	 */
	long freeBytes() {
		return Math.max(0, this.state.settings.maxAcceptedBytes() - usedBytes());
	}

}
