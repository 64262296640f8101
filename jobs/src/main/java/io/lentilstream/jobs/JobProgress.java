package io.lentilstream.jobs;

import java.util.List;

import io.lentilstream.model.JobId;

/**
 * The stored progress of a job.
 *
 * @param job the job
 * @param state the state
 * @param endedAtMillis when the job ended, in milliseconds since 1970; 0 before that
 * @param startableOccurrences the number of occurrences, from the first, whose tasks may
 * have been started; {@link #UNKNOWN_OCCURRENCES} in progress stored without it
 * @param completedOccurrences the numbers of the occurrences whose tasks are all done
 * @param tasks the progress of tasks; a task without an entry has no stored progress,
 * unless its step has an entry
 * @param steps the progress of wide steps
 */
public record JobProgress(JobId job, JobState state, long endedAtMillis, int startableOccurrences,
		List<Integer> completedOccurrences, List<TaskProgress> tasks, List<StepProgress> steps) {

	/**
	 * Tells that all occurrences that have been due may have been started.
	 */
	public static final int UNKNOWN_OCCURRENCES = -1;

	/**
	 * Creates the progress of a job of which it is not known which occurrences may have
	 * been started.
	 * @param job the job
	 * @param state the state
	 * @param endedAtMillis when the job ended, in milliseconds since 1970; 0 before that
	 * @param completedOccurrences the numbers of the occurrences whose tasks are all done
	 * @param tasks the progress of tasks
	 */
	public JobProgress(JobId job, JobState state, long endedAtMillis, List<Integer> completedOccurrences,
			List<TaskProgress> tasks) {
		this(job, state, endedAtMillis, UNKNOWN_OCCURRENCES, completedOccurrences, tasks);
	}

	/**
	 * Creates the progress of a job without wide steps.
	 * @param job the job
	 * @param state the state
	 * @param endedAtMillis when the job ended, in milliseconds since 1970; 0 before that
	 * @param startableOccurrences the number of occurrences whose tasks may have been
	 * started
	 * @param completedOccurrences the numbers of the occurrences whose tasks are all done
	 * @param tasks the progress of tasks
	 */
	public JobProgress(JobId job, JobState state, long endedAtMillis, int startableOccurrences,
			List<Integer> completedOccurrences, List<TaskProgress> tasks) {
		this(job, state, endedAtMillis, startableOccurrences, completedOccurrences, tasks, List.of());
	}

	/**
	 * The stored progress of a step with so many tasks that those that are done are
	 * stored together.
	 *
	 * @param occurrence the number of the occurrence
	 * @param step the number of the step
	 * @param doneBits a bit for each task that is done, from the lowest of the first byte
	 */
	public record StepProgress(int occurrence, int step, byte[] doneBits) {
	}

	/**
	 * The stored progress of a task.
	 *
	 * @param occurrence the number of the occurrence
	 * @param step the number of the step
	 * @param index the number of the task in its step
	 * @param done whether a run of the task completed successfully
	 * @param failedRuns the numbers of the failed runs
	 * @param lastRun the highest run number for which a start command was issued; 0 if
	 * there is none
	 * @param checkpoint the latest checkpoint; empty if there is none
	 * @param suspicion the crashes that the task may have caused
	 */
	public record TaskProgress(int occurrence, int step, int index, boolean done, List<Integer> failedRuns, int lastRun,
			String checkpoint, StoredSuspicion suspicion) {
	}

}
