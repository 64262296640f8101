package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * A criterion against placing a task of a group on a worker that has room. The penalties
 * of all criteria are added up; the lowest sum wins.
 */
@FunctionalInterface
interface PlacementPenalty {

	/**
	 * Returns the penalty.
	 * @param group the group
	 * @param worker the worker
	 * @param now the current time
	 * @return the penalty; 0 if there is no objection
	 */
	double penalty(TaskGroup group, WorkerRecord worker, MonotonicTime now);

}
