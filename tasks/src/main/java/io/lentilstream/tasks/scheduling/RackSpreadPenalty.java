package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * A penalty for racks that already hold tasks of the job, so that the loss of a rack
 * affects few of them.
 */
final class RackSpreadPenalty implements PlacementPenalty {

	// Losing a rack interrupts an urgent job; it costs a batch job some progress.
	private static final double URGENT_WEIGHT = 1;

	private static final double OTHER_WEIGHT = 0.05;

	@Override
	public double penalty(TaskGroup group, WorkerRecord worker, MonotonicTime now) {
		int inRack = group.job.tasksInRack(worker.rack);
		return inRack * (group.taskClass.isUrgent() ? URGENT_WEIGHT : OTHER_WEIGHT);
	}

}
