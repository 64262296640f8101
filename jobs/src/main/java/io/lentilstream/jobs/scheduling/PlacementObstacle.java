package io.lentilstream.jobs.scheduling;

/**
 * A reason for which a VM does not take a task.
 */
enum PlacementObstacle {

	/** The VM belongs to another service. */
	OTHER_SERVICE,

	/**
	 * The VM takes no tasks, since it does not answer, drains, fails runs or is
	 * evacuated.
	 */
	TAKES_NO_TASKS,

	/** The VM has not answered several start commands yet. */
	STARTS_IN_FLIGHT,

	/** The VM is kept for the trial of another task. */
	KEPT_FOR_TRIAL,

	/** The VM is kept free of long-running tasks as headroom. */
	HEADROOM,

	/** The VM has too little unreserved capacity. */
	NO_CAPACITY,

	/** The VM lacks the label, is in another rack, or has enough tasks of the step. */
	PLACEMENT,

	/** The VM may be faulty. */
	MAY_BE_FAULTY,

	/** The task is best-effort, and other tasks use the VM or would be disturbed. */
	BUSY

}
