package io.lentilstream.tasks.scheduling;

import java.time.Duration;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Urgency;

/**
 * The cost of evicting a task, in seconds of lost progress. It depends on unsaved
 * progress, earlier evictions, urgency, and whether the team is within its fair share.
 */
final class EvictionCost {

	// A task that was evicted before should finish before others are evicted for the
	// first time.
	private static final double COST_PER_EARLIER_EVICTION = 600;

	private static final double DEFERRABLE_COST = 3600;

	private static final double TEAM_WITHIN_SHARE_COST = 120;

	// Stop, restart and loading a checkpoint cost this much even without lost progress.
	private static final double RESTART_COST = 30;

	private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

	double cost(TaskRecord task, double fairShare, MonotonicTime now) {
		double cost = RESTART_COST + Math.max(0, now.nanos() - task.progressSavedNanos) / NANOS_PER_SECOND;
		cost += task.evictions * COST_PER_EARLIER_EVICTION;
		if (task.group.taskClass.key.urgency() == Urgency.DEFERRABLE) {
			cost += DEFERRABLE_COST;
		}
		if (task.group.job.team.weightedShare <= fairShare) {
			cost += TEAM_WITHIN_SHARE_COST;
		}
		return cost;
	}

}
