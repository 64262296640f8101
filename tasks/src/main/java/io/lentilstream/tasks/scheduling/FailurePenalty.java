package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * Avoids workers on which tasks of the same job failed, so that a second failure says
 * something about the job, and workers that failed recently.
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
