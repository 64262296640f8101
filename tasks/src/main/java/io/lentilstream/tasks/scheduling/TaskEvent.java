package io.lentilstream.tasks.scheduling;

/**
 * An event that changes the state of a task.
 */
enum TaskEvent {

	/** A worker was selected. */
	PLACED,

	/** The worker runs the task for the first time. */
	START_CONFIRMED,

	/** The worker runs the task from a checkpoint or after an eviction. */
	RESUME_CONFIRMED,

	/** The worker was told to take a checkpoint before an eviction. */
	CHECKPOINT_REQUESTED,

	/** The worker was told to stop the task for an eviction. */
	STOP_REQUESTED,

	/** The task can no longer be running on its worker. */
	PLACEMENT_LOST,

	/** The task finished. */
	FINISHED,

	/** The task failed and will not be retried. */
	GIVEN_UP,

	/** The job was cancelled. */
	CANCELLED

}
