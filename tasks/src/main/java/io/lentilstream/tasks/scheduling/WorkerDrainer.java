package io.lentilstream.tasks.scheduling;

import java.util.List;

import io.lentilstream.model.MonotonicTime;

/**
 * The eviction of tasks from workers that are leaving, each after a checkpoint.
 */
final class WorkerDrainer {

	private final ShardState state;

	private final TaskEvictor evictor;

	WorkerDrainer(ShardState state, TaskEvictor evictor) {
		this.state = state;
		this.evictor = evictor;
	}

	void tick(WorkerRecord worker, StepBuilder step, MonotonicTime now) {
		if (!worker.listed || !worker.description.leaving() || !this.state.mayCommit(now)) {
			return;
		}
		for (TaskRecord task : List.copyOf(worker.tasks)) {
			if (TaskEvictor.canEvict(task)) {
				this.evictor.evict(task, this.state.settings.checkpointTimeout(), step, now);
			}
		}
	}

}
