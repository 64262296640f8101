package io.lentilstream.tasks;

/**
 * Is what a caller is told about a job.
 */
public sealed interface JobAnswer {

	/**
	 * The job is recorded in the shard log.
	 *
	 * @param duplicate whether the same job had been accepted under this key before
	 */
	record Accepted(boolean duplicate) implements JobAnswer {
	}

	/**
	 * The job is not recorded and nothing of it runs.
	 *
	 * @param reason why the job was refused
	 * @param retryAfterMillis milliseconds after which a new try makes sense; 0 if no try
	 * makes sense
	 */
	record Refused(JobRefusal reason, long retryAfterMillis) implements JobAnswer {
	}

	/**
	 * The cancellation is recorded; running tasks are being stopped.
	 *
	 * @param tasks the number of tasks that had not ended and will not be started again
	 */
	record Cancelled(int tasks) implements JobAnswer {
	}

	/**
	 * No job is known under the key.
	 */
	record NotFound() implements JobAnswer {
	}

}
