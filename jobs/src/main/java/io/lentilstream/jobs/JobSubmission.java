package io.lentilstream.jobs;

import java.util.List;

import io.lentilstream.model.JobId;

/**
 * A job as a caller submitted it.
 *
 * @param id the id that the caller chose
 * @param queue the name of the queue
 * @param policy the policy of the queue when the job was accepted
 * @param payload the text that each task receives
 * @param steps the steps in order
 * @param schedule when the steps run
 * @param acceptedAtMillis time of day of the acceptance, in milliseconds since 1970
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
	 * Says when the steps of a job run.
	 *
	 * @param occurrences how often the steps run; 1 for a job without a timetable
	 * @param firstMillis time of day of the first occurrence, in milliseconds since 1970;
	 * 0 for a job without a timetable
	 * @param intervalMillis time between two occurrences, in milliseconds
	 */
	public record Schedule(int occurrences, long firstMillis, long intervalMillis) {

		/**
		 * Once, as soon as possible.
		 */
		public static final Schedule ONCE = new Schedule(1, 0, 0);

		/**
		 * Returns when an occurrence is due.
		 * @param occurrence the number of the occurrence, from 0
		 * @return time of day in milliseconds since 1970; 0 if it is due at once
		 */
		public long dueMillis(int occurrence) {
			return this.firstMillis + occurrence * this.intervalMillis;
		}

	}

}
