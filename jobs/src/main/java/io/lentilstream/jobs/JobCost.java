package io.lentilstream.jobs;

import java.util.Arrays;

/**
 * Estimates the memory that an accepted job takes in a leader.
 */
public final class JobCost {

	/** The memory of a task with its run, in bytes. */
	public static final int TASK_BYTES = 1000;

	/** The memory of a task without a run, in bytes. */
	public static final int IDLE_TASK_BYTES = 450;

	/** The memory of an ended job until it is deleted, in bytes. */
	public static final int ENDED_JOB_BYTES = 200;

	/** The number of tasks that a step may always have. */
	public static final int MIN_TASKS_PER_STEP = 8;

	private static final int JOB_BYTES = 1200;

	private static final int STEP_BYTES = 500;

	/** The number of occurrences of a repeating job that are expected to overlap. */
	private static final int OVERLAPPING_OCCURRENCES = 2;

	/** The memory of a completed occurrence, in bytes. */
	private static final int OCCURRENCE_BYTES = 24;

	private JobCost() {
	}

	/**
	 * Estimates the memory of a job as long as it is active. Steps that depend on each
	 * other have no tasks at the same time, and tasks of wide steps that have not started
	 * take none.
	 * @param submission the job
	 * @return the number of bytes
	 */
	public static long bytes(JobSubmission submission) {
		long stepBytes = 0;
		long[] taskBytes = new long[submission.steps().size()];
		int[] levels = new int[submission.steps().size()];
		for (int number = 0; number < submission.steps().size(); number++) {
			StepSpec step = submission.steps().get(number);
			stepBytes += STEP_BYTES + step.count() / Byte.SIZE + step.image().length();
			for (int dependency : step.dependsOn()) {
				levels[number] = Math.max(levels[number], levels[dependency] + 1);
			}
			boolean allAtOnce = step.traits().gang() || step.traits().longRunning();
			long tasks = allAtOnce ? step.count() : Math.min(step.count(), MIN_TASKS_PER_STEP);
			taskBytes[levels[number]] += tasks * TASK_BYTES;
		}
		long occurrenceBytes = stepBytes + Arrays.stream(taskBytes).max().orElse(0);
		return JOB_BYTES + Character.BYTES * (long) submission.payload().length()
				+ Math.min(submission.schedule().occurrences(), OVERLAPPING_OCCURRENCES) * occurrenceBytes;
	}

	/**
	 * Returns the memory of the steps and occurrences of a job as they are, without
	 * tasks.
	 * @param steps the number of steps in the incomplete occurrences
	 * @param completedOccurrences the number of completed occurrences
	 * @return the number of bytes
	 */
	public static long currentBytes(int steps, int completedOccurrences) {
		return (long) steps * STEP_BYTES + (long) completedOccurrences * OCCURRENCE_BYTES;
	}

}
