package io.lentilstream.tasks;

/**
 * The response to the submission or cancellation of a job.
 */
public sealed interface JobResponse {

	/**
	 * The job is durable in the shard log.
	 *
	 * @param duplicate whether the same job was already accepted under this key
	 */
	record Accepted(boolean duplicate) implements JobResponse {
	}

	/**
	 * The job was not written to the log and none of its tasks will run.
	 *
	 * @param reason why the job was refused
	 * @param retryAfterMillis milliseconds after which the caller may retry; 0 if a retry
	 * cannot succeed
	 */
	record Refused(JobRefusal reason, long retryAfterMillis) implements JobResponse {
	}

	/**
	 * The cancellation is durable in the shard log; running tasks are being stopped.
	 *
	 * @param tasks the number of unfinished tasks that were cancelled
	 */
	record Cancelled(int tasks) implements JobResponse {
	}

	/**
	 * No job is known under the key.
	 */
	record NotFound() implements JobResponse {
	}

}
