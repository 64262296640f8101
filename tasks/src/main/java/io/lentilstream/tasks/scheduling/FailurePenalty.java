package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * A penalty for workers on which tasks of the same group failed, so that another failure
 * indicates a fault of the job, and for workers with recent failures.
 */
final class FailurePenalty implements PlacementPenalty {

	private static final double SAME_GROUP_PENALTY = 1000;

	private static final double PENALTY_PER_FAILURE = 1;

	@Override
	public double penalty(TaskGroup group, WorkerRecord worker, MonotonicTime now) {
		double penalty = worker.consecutiveFailures * PENALTY_PER_FAILURE;
		return group.failureHistory.hasFailedOn(worker) ? (penalty + SAME_GROUP_PENALTY) : penalty;
	}

}
