package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;

/**
 * Avoids workers on which tasks of the same job failed, so that a second failure says
 * something about the job, and workers that failed recently.
 */
final class FailureAvoidanceRule implements PlacementScoreRule {

	private static final double SAME_GROUP = 1000;

	private static final double PER_FAILURE = 1;

	@Override
	public double penalty(TaskGroup group, WorkerRecord worker, MonotonicTime now) {
		double penalty = worker.failuresInRow * PER_FAILURE;
		return group.failures.contains(worker) ? (penalty + SAME_GROUP) : penalty;
	}

}
