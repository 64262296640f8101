package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.WorkerCommand;

/**
 * Relieves a VM whose measured use is near its capacity or whose urgent tasks are slowed
 * down: batch tasks are throttled first; if that does not help, the one that costs least
 * to lose is evicted.
 */
final class OverloadRule {

	private static final double HIGH_CORE_LOAD = 0.98;

	private static final double HIGH_MEMORY_LOAD = 0.98;

	private static final double LOW_CORE_LOAD = 0.8;

	/** Slowdown of urgent tasks that is too much. */
	private static final double HIGH_SLOWDOWN = 1.25;

	// Reports lag, so the effect of a throttle is not seen in the next report.
	private static final int REPORTS_BEFORE_EVICTION = 4;

	private static final float TO_SIZE = 1;

	private static final float STRONG = 0.5f;

	private final ShardState state;

	private final VictimFinder victims;

	private final EvictionRule evictions;

	private final EvictionBudget budget;

	OverloadRule(ShardState state, VictimFinder victims, EvictionRule evictions, EvictionBudget budget) {
		this.state = state;
		this.victims = victims;
		this.evictions = evictions;
		this.budget = budget;
	}

	/**
	 * Looks at the measured load of a worker after its reports were taken.
	 * @param worker the worker
	 * @param urgentSlowdown the largest slowdown of an urgent task there
	 * @param step the step
	 * @param now the current time
	 */
	void afterReports(WorkerRecord worker, double urgentSlowdown, StepBuilder step, MonotonicTime now) {
		sendLostAgain(worker, step);
		Resources capacity = this.state.ledger.capacity(worker.ledgerIndex);
		double coreLoad = (double) worker.usedMilliCores / Math.max(1, capacity.milliCores());
		double memoryLoad = (double) worker.usedMemory / Math.max(1, capacity.memoryMegabytes());
		boolean coresHigh = coreLoad > HIGH_CORE_LOAD || urgentSlowdown > HIGH_SLOWDOWN;
		boolean memoryHigh = memoryLoad > HIGH_MEMORY_LOAD;
		if (!coresHigh && !memoryHigh) {
			worker.overloadedReports = 0;
			if (coreLoad < LOW_CORE_LOAD) {
				lift(worker, step);
			}
			return;
		}
		worker.overloadedReports++;
		boolean throttled = coresHigh && throttle(worker, step);
		if (!throttled && (memoryHigh || worker.overloadedReports >= REPORTS_BEFORE_EVICTION)
				&& !isBeingRelieved(worker) && this.state.mayCommit(now)) {
			TaskRecord victim = this.victims.cheapest(worker, (task) -> true, now);
			if (victim != null && this.budget.tryTake(1, now)) {
				worker.overloadedReports = 0;
				this.evictions.evict(victim, this.state.settings.checkpointTimeout(), step, now);
			}
		}
	}

	private boolean throttle(WorkerRecord worker, StepBuilder step) {
		TaskRecord chosen = null;
		long largest = 0;
		for (TaskRecord task : worker.tasks) {
			if (task.urgent() || !EvictionRule.isPossible(task) || task.throttle <= STRONG) {
				continue;
			}
			// A task above its size is limited to it before any task is limited below it.
			long excess = task.usedMilliCores - task.committed.milliCores();
			long weight = (task.throttle > TO_SIZE) ? Math.max(1, excess) * 1000 : task.usedMilliCores;
			if (weight > largest) {
				chosen = task;
				largest = weight;
			}
		}
		if (chosen == null) {
			return false;
		}
		boolean aboveSize = chosen.throttle > TO_SIZE && chosen.usedMilliCores > chosen.committed.milliCores();
		send(chosen, aboveSize ? TO_SIZE : STRONG, step);
		this.state.totals.throttles++;
		return true;
	}

	// Until the evicted task has stopped, reports still contain its use.
	private static boolean isBeingRelieved(WorkerRecord worker) {
		for (TaskRecord task : worker.tasks) {
			if (task.state == TaskState.CHECKPOINTING || task.state == TaskState.EVICTED) {
				return true;
			}
		}
		return false;
	}

	// A lost lift would leave the task slow until it ends.
	private void sendLostAgain(WorkerRecord worker, StepBuilder step) {
		for (TaskRecord task : worker.tasks) {
			if (task.throttleLost && EvictionRule.isPossible(task)) {
				task.throttleLost = false;
				send(task, task.throttle, step);
			}
		}
	}

	private void lift(WorkerRecord worker, StepBuilder step) {
		for (TaskRecord task : worker.tasks) {
			if (task.throttle < TO_SIZE && EvictionRule.isPossible(task)) {
				send(task, TO_SIZE, step);
				return;
			}
		}
	}

	private void send(TaskRecord task, float share, StepBuilder step) {
		task.throttle = share;
		step.send(task.worker, new WorkerCommand.Throttle(this.state.nextCommand(), this.state.idOf(task), share));
	}

}
