package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.WorkerCommand;

/**
 * The mitigation for VMs whose measured usage is near their capacity or whose urgent
 * tasks are slowed down. Other tasks are throttled first; if that does not help, the one
 * with the lowest eviction cost is evicted.
 */
final class OverloadMitigator {

	private static final double HIGH_CORE_LOAD = 0.98;

	private static final double HIGH_MEMORY_LOAD = 0.98;

	private static final double LOW_CORE_LOAD = 0.8;

	/** Slowdown of urgent tasks above which a VM is overloaded. */
	private static final double HIGH_SLOWDOWN = 1.25;

	// Reports lag, so the effect of a throttle is not visible in the next report.
	private static final int REPORTS_BEFORE_EVICTION = 4;

	private static final float COMMITTED_SIZE = 1;

	private static final float HALF_SIZE = 0.5f;

	private final ShardState state;

	private final VictimFinder victimFinder;

	private final TaskEvictor evictor;

	private final EvictionBudget budget;

	OverloadMitigator(ShardState state, VictimFinder victimFinder, TaskEvictor evictor, EvictionBudget budget) {
		this.state = state;
		this.victimFinder = victimFinder;
		this.evictor = evictor;
		this.budget = budget;
	}

	/**
	 * Checks the measured load of a worker after its reports were applied.
	 * @param worker the worker
	 * @param urgentSlowdown the largest slowdown of an urgent task there
	 * @param step the step
	 * @param now the current time
	 */
	void afterReports(WorkerRecord worker, double urgentSlowdown, StepBuilder step, MonotonicTime now) {
		resendThrottles(worker, step);
		Resources capacity = this.state.ledger.capacity(worker.ledgerIndex);
		double coreLoad = (double) worker.usedMilliCores / Math.max(1, capacity.milliCores());
		double memoryLoad = (double) worker.usedMemory / Math.max(1, capacity.memoryMegabytes());
		boolean coresHigh = coreLoad > HIGH_CORE_LOAD || urgentSlowdown > HIGH_SLOWDOWN;
		boolean memoryHigh = memoryLoad > HIGH_MEMORY_LOAD;
		if (!coresHigh && !memoryHigh) {
			worker.consecutiveOverloadedReports = 0;
			if (coreLoad < LOW_CORE_LOAD) {
				liftThrottle(worker, step);
			}
			return;
		}
		worker.consecutiveOverloadedReports++;
		boolean throttled = coresHigh && throttle(worker, step);
		if (!throttled && (memoryHigh || worker.consecutiveOverloadedReports >= REPORTS_BEFORE_EVICTION)
				&& !hasPendingEviction(worker) && this.state.mayCommit(now)) {
			TaskRecord victim = this.victimFinder.cheapest(worker, (task) -> true, now);
			if (victim != null && this.budget.tryAcquire(1, now)) {
				worker.consecutiveOverloadedReports = 0;
				this.evictor.evict(victim, this.state.settings.checkpointTimeout(), step, now);
			}
		}
	}

	private boolean throttle(WorkerRecord worker, StepBuilder step) {
		TaskRecord chosen = null;
		long largest = 0;
		for (TaskRecord task : worker.tasks) {
			if (task.isUrgent() || !TaskEvictor.canEvict(task) || task.throttle <= HALF_SIZE) {
				continue;
			}
			// Tasks that use more than their committed size are limited to it before any
			// task is limited below it.
			long excess = task.usedMilliCores - task.committed.milliCores();
			long weight = (task.throttle > COMMITTED_SIZE) ? Math.max(1, excess) * 1000 : task.usedMilliCores;
			if (weight > largest) {
				chosen = task;
				largest = weight;
			}
		}
		if (chosen == null) {
			return false;
		}
		boolean aboveSize = chosen.throttle > COMMITTED_SIZE && chosen.usedMilliCores > chosen.committed.milliCores();
		send(chosen, aboveSize ? COMMITTED_SIZE : HALF_SIZE, step);
		this.state.totals.throttles++;
		return true;
	}

	// Reports include the usage of an evicted task until it has stopped.
	private static boolean hasPendingEviction(WorkerRecord worker) {
		for (TaskRecord task : worker.tasks) {
			if (task.state == TaskState.CHECKPOINTING || task.state == TaskState.EVICTED) {
				return true;
			}
		}
		return false;
	}

	// If a command that lifts a throttle is lost, the task stays slow until it ends.
	private void resendThrottles(WorkerRecord worker, StepBuilder step) {
		for (TaskRecord task : worker.tasks) {
			if (task.throttleResendDue && TaskEvictor.canEvict(task)) {
				task.throttleResendDue = false;
				send(task, task.throttle, step);
			}
		}
	}

	private void liftThrottle(WorkerRecord worker, StepBuilder step) {
		for (TaskRecord task : worker.tasks) {
			if (task.throttle < COMMITTED_SIZE && TaskEvictor.canEvict(task)) {
				send(task, COMMITTED_SIZE, step);
				return;
			}
		}
	}

	private void send(TaskRecord task, float share, StepBuilder step) {
		task.throttle = share;
		step.addCommand(task.worker,
				new WorkerCommand.Throttle(this.state.nextCommand(), this.state.taskId(task), share));
	}

}
