package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * Says how much is against placing a task of a group on a worker that has room.
 */
@FunctionalInterface
interface PlacementPenalty {

	/**
	 * Returns the penalty.
	 * @param group the group
	 * @param worker the worker
	 * @param now the current time
	 * @return the penalty; 0 if nothing is against it
	 */
	double penalty(TaskGroup group, WorkerRecord worker, MonotonicTime now);

}
