package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;

/**
 * A search, among a few VMs, for the tasks whose eviction makes room for a size at the
 * lowest cost.
 */
final class VictimFinder {

	private static final int CANDIDATES = 16;

	private final ShardState state;

	private final FairShare fairShare;

	private final EvictionCost costs = new EvictionCost();

	private int cursor;

	VictimFinder(ShardState state, FairShare fairShare) {
		this.state = state;
		this.fairShare = fairShare;
	}

	/**
	 * Returns the cheapest set of tasks on one VM whose eviction makes room for a size.
	 * @param size the size that must fit
	 * @param urgent whether the size is for an urgent task
	 * @param allowed which tasks may be evicted
	 * @param now the current time
	 * @return the tasks, all on one VM; empty if no set was found
	 */
	List<TaskRecord> find(Resources size, boolean urgent, Predicate<TaskRecord> allowed, MonotonicTime now) {
		List<TaskRecord> best = List.of();
		double bestCost = Double.POSITIVE_INFINITY;
		int position = this.cursor;
		boolean wrapped = false;
		for (int examined = 0; examined < CANDIDATES;) {
			int found = this.state.ledger.findAfterEviction(position, size);
			if (found < 0) {
				if (wrapped) {
					break;
				}
				wrapped = true;
				position = 0;
				continue;
			}
			position = found + 1;
			examined++;
			WorkerRecord worker = this.state.workers.get(found);
			if (worker.pendingPreemptions > 0) {
				continue;
			}
			List<TaskRecord> victims = victims(worker, size, urgent, allowed, now);
			double cost = cost(victims, now);
			if (!victims.isEmpty() && cost < bestCost) {
				best = victims;
				bestCost = cost;
			}
		}
		this.cursor = (position < this.state.workers.size()) ? position : 0;
		return best;
	}

	/**
	 * Returns the task on a worker with the lowest eviction cost.
	 * @param worker the worker
	 * @param allowed which tasks may be evicted
	 * @param now the current time
	 * @return the task; {@code null} if none can be evicted
	 */
	TaskRecord cheapest(WorkerRecord worker, Predicate<TaskRecord> allowed, MonotonicTime now) {
		TaskRecord best = null;
		double bestCost = Double.POSITIVE_INFINITY;
		for (TaskRecord task : worker.tasks) {
			if (!task.isUrgent() && TaskEvictor.canEvict(task) && allowed.test(task)) {
				double cost = this.costs.cost(task, this.fairShare.level(), now);
				if (cost < bestCost) {
					best = task;
					bestCost = cost;
				}
			}
		}
		return best;
	}

	private List<TaskRecord> victims(WorkerRecord worker, Resources size, boolean urgent, Predicate<TaskRecord> allowed,
			MonotonicTime now) {
		List<TaskRecord> candidates = new ArrayList<>();
		for (TaskRecord task : worker.tasks) {
			if (!task.isUrgent() && TaskEvictor.canEvict(task) && allowed.test(task)) {
				candidates.add(task);
			}
		}
		candidates.sort(Comparator.comparingDouble((task) -> this.costs.cost(task, this.fairShare.level(), now)));
		Resources free = this.state.ledger.free(worker.ledgerIndex, urgent);
		List<TaskRecord> chosen = new ArrayList<>();
		for (TaskRecord task : candidates) {
			if (size.fitsWithin(free)) {
				break;
			}
			if (helps(task.committed, size, free)) {
				chosen.add(task);
				free = free.plus(task.committed);
			}
		}
		if (!size.fitsWithin(free)) {
			return List.of();
		}
		for (int i = chosen.size() - 1; i >= 0; i--) {
			Resources without = free.minus(chosen.get(i).committed);
			if (size.fitsWithin(without)) {
				free = without;
				chosen.remove(i);
			}
		}
		return chosen;
	}

	private static boolean helps(Resources committed, Resources size, Resources free) {
		return (free.milliCores() < size.milliCores() && committed.milliCores() > 0)
				|| (free.memoryMegabytes() < size.memoryMegabytes() && committed.memoryMegabytes() > 0)
				|| (free.accelerators() < size.accelerators() && committed.accelerators() > 0);
	}

	private double cost(List<TaskRecord> victims, MonotonicTime now) {
		double sum = 0;
		for (TaskRecord task : victims) {
			sum += this.costs.cost(task, this.fairShare.level(), now);
		}
		return sum;
	}

}
