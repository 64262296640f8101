package io.lentilstream.tasks.scheduling;

import java.util.List;

import io.lentilstream.model.MonotonicTime;

/**
 * Moves the tasks of leaving workers away, each after a checkpoint.
 */
final class LeavingRule {

	private final ShardState state;

	private final EvictionRule evictions;

	LeavingRule(ShardState state, EvictionRule evictions) {
		this.state = state;
		this.evictions = evictions;
	}

	void tick(WorkerRecord worker, StepBuilder step, MonotonicTime now) {
		if (!worker.listed || !worker.description.leaving() || !this.state.mayCommit(now)) {
			return;
		}
		for (TaskRecord task : List.copyOf(worker.tasks)) {
			if (EvictionRule.isPossible(task)) {
				this.evictions.evict(task, this.state.settings.checkpointTimeout(), step, now);
			}
		}
	}

}
