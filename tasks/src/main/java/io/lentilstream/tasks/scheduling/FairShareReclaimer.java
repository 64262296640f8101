package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;

/**
 * The reclaimer of borrowed capacity. It evicts tasks of teams above their fair share for
 * blocked tasks of teams below theirs, within the eviction budget. Until the capacity is
 * complete, the VM accepts only urgent tasks.
 */
final class FairShareReclaimer {

	private final ShardState state;

	private final PendingQueue queue;

	private final FairShare fairShare;

	private final VictimFinder victimFinder;

	private final TaskEvictor evictor;

	private final EvictionBudget budget;

	private final Placements placements;

	private final List<Reclaim> pendingReclaims = new ArrayList<>();

	FairShareReclaimer(ShardState state, PendingQueue queue, FairShare fairShare, VictimFinder victimFinder,
			TaskEvictor evictor, EvictionBudget budget, Placements placements) {
		this.state = state;
		this.queue = queue;
		this.fairShare = fairShare;
		this.victimFinder = victimFinder;
		this.evictor = evictor;
		this.budget = budget;
		this.placements = placements;
	}

	void tick(StepBuilder step, MonotonicTime now) {
		if (!this.state.mayCommit(now)) {
			return;
		}
		for (TaskClass taskClass : this.queue.blockedClasses()) {
			TeamRecord team = taskClass.team;
			if (taskClass.isUrgent() || !this.fairShare.isBelow(team) || hasEnoughReclaims(taskClass)) {
				continue;
			}
			Resources size = taskClass.size(this.state.largestVm);
			List<TaskRecord> victims = this.victimFinder.find(size, false,
					(task) -> task.group.job.team != team && this.fairShare.isAbove(task.group.job.team)
							&& task.group.taskClass.key.urgency().compareTo(taskClass.key.urgency()) >= 0,
					now);
			if (victims.isEmpty() || !this.budget.canEverAcquire(victims.size())) {
				continue;
			}
			if (!this.budget.tryAcquire(victims.size(), now)) {
				return;
			}
			reserve(taskClass, victims);
			for (TaskRecord task : victims) {
				this.evictor.evict(task, this.state.settings.checkpointTimeout(), step, now);
			}
		}
	}

	/**
	 * Reopens VMs on which all evictions of a reclaim have ended. Must be followed by a
	 * placement pass, which gives the capacity to the team with the smallest share.
	 */
	void finishReclaims() {
		for (Iterator<Reclaim> reclaims = this.pendingReclaims.iterator(); reclaims.hasNext();) {
			WorkerRecord worker = reclaims.next().worker;
			if (worker.pendingPreemptions == 0) {
				this.state.ledger.setUrgentOnly(worker.ledgerIndex, false);
				this.placements.freedWorkers().add(worker);
				reclaims.remove();
			}
		}
	}

	// Without the restriction, evicted tasks would be placed here again one by one before
	// the capacity for the waiting task is complete.
	private void reserve(TaskClass taskClass, List<TaskRecord> victims) {
		WorkerRecord worker = victims.get(0).worker;
		worker.pendingPreemptions = victims.size();
		victims.forEach((task) -> task.preempted = true);
		this.state.ledger.setUrgentOnly(worker.ledgerIndex, true);
		this.pendingReclaims.add(new Reclaim(taskClass, worker));
	}

	private boolean hasEnoughReclaims(TaskClass taskClass) {
		int reclaims = 0;
		for (Reclaim reclaim : this.pendingReclaims) {
			reclaims += (reclaim.taskClass == taskClass) ? 1 : 0;
		}
		return reclaims > 0 && reclaims >= taskClass.waitingCount(reclaims);
	}

	/**
	 * Capacity for one task that evictions are freeing.
	 *
	 * @param taskClass the task class that waits for the capacity
	 * @param worker the worker
	 */
	private record Reclaim(TaskClass taskClass, WorkerRecord worker) {
	}

}
