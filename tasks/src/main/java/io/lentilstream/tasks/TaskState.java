package io.lentilstream.tasks;

/**
 * The lifecycle state of a task.
 */
public enum TaskState {

	/** The task waits for a worker. */
	PENDING,

	/** The task is placed on a worker that has not confirmed the start. */
	STARTING,

	/** The task runs for the first time or after a failed attempt. */
	RUNNING,

	/** The task runs while a checkpoint is taken before its eviction. */
	CHECKPOINTING,

	/**
	 * The task was evicted: it is being stopped, or waits for a worker to resume on.
	 */
	EVICTED,

	/** The task runs again after an eviction. */
	RESUMED,

	/** The task finished successfully. */
	DONE,

	/** The task failed and will not be retried. */
	FAILED,

	/**
	 * The task was cancelled; its capacity stays committed until the stop is confirmed.
	 */
	CANCELLED;

	/**
	 * Returns whether this state is final.
	 * @return {@code true} if no transition leaves this state
	 */
	public boolean isEnded() {
		return this == DONE || this == FAILED || this == CANCELLED;
	}

}
