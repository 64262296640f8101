package io.lentilstream.jobs;

import java.util.List;

import io.lentilstream.model.JobId;

/**
 * What is stored of a job's progress.
 *
 * @param job the job
 * @param state the state
 * @param endedAtMillis time of day of the end, in milliseconds since 1970; 0 before it
 * @param completedOccurrences occurrences of which all tasks are done
 * @param tasks the tasks of which something is known, others are untouched
 */
public record JobProgress(JobId job, JobState state, long endedAtMillis, List<Integer> completedOccurrences,
		List<TaskProgress> tasks) {

	/**
	 * What is stored of a task's progress.
	 *
	 * @param occurrence the number of the occurrence
	 * @param step the number of the step
	 * @param index the number of the task in its step
	 * @param done whether a run ended as done
	 * @param failedRuns numbers of the runs that ended as failed
	 * @param lastRun the highest run number that was ordered
	 * @param checkpoint the latest checkpoint; empty if there is none
	 */
	public record TaskProgress(int occurrence, int step, int index, boolean done, List<Integer> failedRuns, int lastRun,
			String checkpoint) {
	}

}
