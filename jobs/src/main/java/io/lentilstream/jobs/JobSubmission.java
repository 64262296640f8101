package io.lentilstream.jobs;

import java.util.List;

import io.lentilstream.model.JobId;

/**
 * A job as submitted by a caller.
 *
 * @param id the id that the caller chose
 * @param queue the name of the queue
 * @param policy the policy of the queue at the time the job was accepted
 * @param payload the text that is passed to each task
 * @param steps the steps in order
 * @param schedule the schedule of the job's occurrences
 * @param acceptedAtMillis when the job was accepted, in milliseconds since 1970
 */
public record JobSubmission(JobId id, String queue, QueuePolicy policy, String payload, List<StepSpec> steps,
		Schedule schedule, long acceptedAtMillis) {

	/**
	 * Tells whether the job's tasks run until it is cancelled.
	 * @return {@code true} if any step is long-running
	 */
	public boolean longRunning() {
		return this.steps.stream().anyMatch((step) -> step.traits().longRunning());
	}

	/**
	 * The schedule on which the steps of a job run.
	 *
	 * @param occurrences how many times the steps run; 1 for a job that is not recurring
	 * @param firstMillis when the first occurrence is due, in milliseconds since 1970; 0
	 * for immediately
	 * @param intervalMillis the time between two occurrences, in milliseconds
	 */
	public record Schedule(int occurrences, long firstMillis, long intervalMillis) {

		/**
		 * A single occurrence that is due immediately.
		 */
		public static final Schedule ONCE = new Schedule(1, 0, 0);

		/**
		 * Returns when an occurrence is due.
		 * @param occurrence the number of the occurrence, from 0
		 * @return the time in milliseconds since 1970; 0 if it is due immediately
		 */
		public long dueMillis(int occurrence) {
			return this.firstMillis + occurrence * this.intervalMillis;
		}

	}

}
