package io.lentilstream.tasks.scheduling;

import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.usage.InterferenceEstimator;

/**
 * A penalty for tasks that were observed to slow each other down.
 */
final class InterferencePenalty implements PlacementPenalty {

	private static final double WEIGHT = 4;

	// A late answer of an urgent task is useless; a batch task just finishes later.
	private static final double URGENT_WEIGHT = 16;

	private final InterferenceEstimator estimator;

	InterferencePenalty(InterferenceEstimator estimator) {
		this.estimator = estimator;
	}

	@Override
	public double penalty(TaskGroup group, WorkerRecord worker, MonotonicTime now) {
		if (this.estimator.size() == 0) {
			return 0;
		}
		double sum = 0;
		List<TaskClass> classes = worker.classes();
		for (int i = 0; i < classes.size(); i++) {
			TaskClass other = classes.get(i);
			double between = this.estimator.mutualSlowdown(group.taskClass.id, other.id, now);
			if (between > 0) {
				sum += between * ((other.isUrgent() || group.taskClass.isUrgent()) ? URGENT_WEIGHT : WEIGHT);
			}
		}
		return sum;
	}

}
