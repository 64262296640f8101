package io.lentilstream.tasks;

/**
 * What a caller is told about a job.
 */
public sealed interface JobResponse {

	/**
	 * The job is recorded in the shard log.
	 *
	 * @param duplicate whether the same job had been accepted under this key before
	 */
	record Accepted(boolean duplicate) implements JobResponse {
	}

	/**
	 * The job is not recorded and nothing of it runs.
	 *
	 * @param reason why the job was refused
	 * @param retryAfterMillis milliseconds after which a new try makes sense; 0 if no try
	 * makes sense
	 */
	record Refused(JobRefusal reason, long retryAfterMillis) implements JobResponse {
	}

	/**
	 * The cancellation is recorded; running tasks are being stopped.
	 *
	 * @param tasks the number of tasks that had not ended and will not be started again
	 */
	record Cancelled(int tasks) implements JobResponse {
	}

	/**
	 * No job is known under the key.
	 */
	record NotFound() implements JobResponse {
	}

}
