package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;

/**
 * Takes back borrowed share: a team below its fair share whose work fits nowhere gets
 * room from teams above theirs, within the bound on evictions per minute. The VM takes no
 * other work that is not urgent until the room is complete.
 */
final class FairShareReclaimer {

	private final ShardState state;

	private final PendingQueue queue;

	private final FairShare fairShare;

	private final VictimFinder victimFinder;

	private final TaskEvictor evictor;

	private final EvictionBudget budget;

	private final Placements placements;

	private final List<Room> pendingReclaims = new ArrayList<>();

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
			List<TaskRecord> chosen = this.victimFinder.find(size, false,
					(task) -> task.group.job.team != team && this.fairShare.isAbove(task.group.job.team)
							&& task.group.taskClass.key.urgency().compareTo(taskClass.key.urgency()) >= 0,
					now);
			if (chosen.isEmpty() || !this.budget.canEverAcquire(chosen.size())) {
				continue;
			}
			if (!this.budget.tryAcquire(chosen.size(), now)) {
				return;
			}
			reserve(taskClass, chosen);
			for (TaskRecord task : chosen) {
				this.evictor.evict(task, this.state.settings.checkpointPatience(), step, now);
			}
		}
	}

	/**
	 * Opens the VMs on which room was made. Must be followed by a placement pass, which
	 * gives the room to the team with the smallest share.
	 */
	void finishReclaims() {
		for (Iterator<Room> rooms = this.pendingReclaims.iterator(); rooms.hasNext();) {
			WorkerRecord worker = rooms.next().worker;
			if (worker.pendingPreemptions == 0) {
				this.state.ledger.setUrgentOnly(worker.ledgerIndex, false);
				this.placements.freedWorkers().add(worker);
				rooms.remove();
			}
		}
	}

	// Otherwise the evicted tasks would take their places again one by one, before the
	// room for the waiting task is complete.
	private void reserve(TaskClass taskClass, List<TaskRecord> chosen) {
		WorkerRecord worker = chosen.get(0).worker;
		worker.pendingPreemptions = chosen.size();
		chosen.forEach((task) -> task.preempted = true);
		this.state.ledger.setUrgentOnly(worker.ledgerIndex, true);
		this.pendingReclaims.add(new Room(taskClass, worker));
	}

	private boolean hasEnoughReclaims(TaskClass taskClass) {
		int rooms = 0;
		for (Room room : this.pendingReclaims) {
			rooms += (room.taskClass == taskClass) ? 1 : 0;
		}
		return rooms > 0 && rooms >= taskClass.waitingCount(rooms);
	}

	/**
	 * Is room for one task that evictions are making.
	 *
	 * @param taskClass the class that waits for the room
	 * @param worker the worker
	 */
	private record Room(TaskClass taskClass, WorkerRecord worker) {
	}

}
