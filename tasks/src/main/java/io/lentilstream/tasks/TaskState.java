package io.lentilstream.tasks;

/**
 * The state of a task in its lifecycle.
 */
public enum TaskState {

	/** Waits for a worker. */
	PENDING,

	/** Has a worker, which has not confirmed the start. */
	STARTING,

	/** Runs for the first time or after a failed attempt. */
	RUNNING,

	/** Runs while a checkpoint is taken before an eviction. */
	CHECKPOINTING,

	/** Is being stopped or was stopped, and waits for a worker to resume on. */
	EVICTED,

	/** Runs again after an eviction. */
	RESUMED,

	/** Finished. */
	DONE,

	/** Will not be tried again. */
	FAILED,

	/** Was cancelled; its capacity stays committed until the stop is confirmed. */
	CANCELLED;

	/**
	 * Tells whether the task ended.
	 * @return {@code true} if no transition leaves this state
	 */
	public boolean isEnded() {
		return this == DONE || this == FAILED || this == CANCELLED;
	}

}
