package io.lentilstream.tasks.scheduling;

/**
 * Is something that changes the state of a task.
 */
enum TaskEvent {

	/** A worker was chosen. */
	PLACED,

	/** The worker runs the task for the first time. */
	START_CONFIRMED,

	/** The worker runs the task from a checkpoint or after an eviction. */
	RESUME_CONFIRMED,

	/** A checkpoint was ordered before an eviction. */
	CHECKPOINT_REQUESTED,

	/** The stop of an eviction was ordered. */
	STOP_REQUESTED,

	/** The task certainly does not run at its worker. */
	PLACEMENT_LOST,

	/** The task finished. */
	FINISHED,

	/** The task will not be tried again. */
	GIVEN_UP,

	/** The job was cancelled. */
	CANCELLED

}
