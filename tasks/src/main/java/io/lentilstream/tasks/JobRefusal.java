package io.lentilstream.tasks;

/**
 * The reason why a job was refused.
 */
public enum JobRefusal {

	/** The submission has no task, too many tasks, or a size that is not positive. */
	INVALID,

	/** A different job is known under the same key. */
	KEY_CONFLICT,

	/** A task is larger than every known VM. */
	LARGER_THAN_EVERY_VM,

	/** A single task is larger than the hard limit of the team. */
	OVER_QUOTA,

	/** The shard has the maximum number of unfinished tasks. */
	QUEUE_FULL,

	/** The commit deadline has passed, so the job cannot be written to the log. */
	STORE_UNAVAILABLE

}
