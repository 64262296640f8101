package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.tasks.TaskState;

/**
 * The eviction of tasks from a VM whose listed capacity became smaller than its
 * commitments, until the rest fits. Tasks that are not urgent are evicted first, in order
 * of their eviction cost. The eviction budget does not apply, since the VM is over its
 * capacity until they have stopped.
 */
final class ShrunkCapacityEvictor {

	private final ShardState state;

	private final VictimFinder victimFinder;

	private final TaskEvictor evictor;

	ShrunkCapacityEvictor(ShardState state, VictimFinder victimFinder, TaskEvictor evictor) {
		this.state = state;
		this.victimFinder = victimFinder;
		this.evictor = evictor;
	}

	void tick(WorkerRecord worker, StepBuilder step, MonotonicTime now) {
		Resources capacity = this.state.ledger.capacity(worker.ledgerIndex);
		Resources committed = this.state.ledger.committed(worker.ledgerIndex);
		if (!worker.listed || committed.fitsWithin(capacity) || !this.state.mayCommit(now)) {
			return;
		}
		Resources excess = committed.minus(capacity);
		for (TaskRecord task : worker.tasks) {
			if (task.state.isEnded() || task.state == TaskState.CHECKPOINTING || task.state == TaskState.EVICTED) {
				excess = excess.minus(task.committed);
			}
		}
		while (!excess.fitsWithin(Resources.NONE)) {
			TaskRecord victim = victim(worker, excess, now);
			if (victim == null) {
				return;
			}
			excess = excess.minus(victim.committed);
			this.evictor.evict(victim, this.state.settings.checkpointTimeout(), step, now);
		}
	}

	private TaskRecord victim(WorkerRecord worker, Resources excess, MonotonicTime now) {
		TaskRecord cheapest = this.victimFinder.cheapest(worker, (task) -> helps(task, excess), now);
		if (cheapest != null) {
			return cheapest;
		}
		for (TaskRecord task : worker.tasks) {
			if (TaskEvictor.canEvict(task) && helps(task, excess)) {
				return task;
			}
		}
		return null;
	}

	private static boolean helps(TaskRecord task, Resources excess) {
		return (excess.milliCores() > 0 && task.committed.milliCores() > 0)
				|| (excess.memoryMegabytes() > 0 && task.committed.memoryMegabytes() > 0)
				|| (excess.accelerators() > 0 && task.committed.accelerators() > 0);
	}

}
