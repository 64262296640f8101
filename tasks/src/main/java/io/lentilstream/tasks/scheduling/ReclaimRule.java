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
final class ReclaimRule {

	private final ShardState state;

	private final PendingQueue queue;

	private final FairShareRule fairShare;

	private final VictimFinder victims;

	private final EvictionRule evictions;

	private final EvictionBudget budget;

	private final Placements placements;

	private final List<Room> making = new ArrayList<>();

	ReclaimRule(ShardState state, PendingQueue queue, FairShareRule fairShare, VictimFinder victims,
			EvictionRule evictions, EvictionBudget budget, Placements placements) {
		this.state = state;
		this.queue = queue;
		this.fairShare = fairShare;
		this.victims = victims;
		this.evictions = evictions;
		this.budget = budget;
		this.placements = placements;
	}

	void tick(StepBuilder step, MonotonicTime now) {
		if (!this.state.mayCommit(now)) {
			return;
		}
		for (WorkClass workClass : this.queue.blockedClasses()) {
			TeamRecord team = workClass.team;
			if (workClass.urgent() || !this.fairShare.isUnder(team) || hasEnoughRooms(workClass)) {
				continue;
			}
			Resources size = workClass.size(this.state.largestVm);
			List<TaskRecord> chosen = this.victims.find(size, false,
					(task) -> task.group.job.team != team && this.fairShare.isOver(task.group.job.team)
							&& task.group.workClass.key.urgency().compareTo(workClass.key.urgency()) >= 0,
					now);
			if (chosen.isEmpty() || !this.budget.everAllows(chosen.size())) {
				continue;
			}
			if (!this.budget.tryTake(chosen.size(), now)) {
				return;
			}
			hold(workClass, chosen);
			for (TaskRecord task : chosen) {
				this.evictions.evict(task, this.state.settings.checkpointTimeout(), step, now);
			}
		}
	}

	/**
	 * Opens the VMs on which room was made. Must be followed by a placement pass, which
	 * gives the room to the team with the smallest share.
	 */
	void reopen() {
		for (Iterator<Room> rooms = this.making.iterator(); rooms.hasNext();) {
			WorkerRecord worker = rooms.next().worker;
			if (worker.roomEvictions == 0) {
				this.state.ledger.setUrgentOnly(worker.ledgerIndex, false);
				this.placements.freed().add(worker);
				rooms.remove();
			}
		}
	}

	// Otherwise the evicted tasks would take their places again one by one, before the
	// room for the waiting task is complete.
	private void hold(WorkClass workClass, List<TaskRecord> chosen) {
		WorkerRecord worker = chosen.get(0).worker;
		worker.roomEvictions = chosen.size();
		chosen.forEach((task) -> task.makesRoom = true);
		this.state.ledger.setUrgentOnly(worker.ledgerIndex, true);
		this.making.add(new Room(workClass, worker));
	}

	private boolean hasEnoughRooms(WorkClass workClass) {
		int rooms = 0;
		for (Room room : this.making) {
			rooms += (room.workClass == workClass) ? 1 : 0;
		}
		return rooms > 0 && rooms >= workClass.waiting(rooms);
	}

	/**
	 * Is room for one task that evictions are making.
	 *
	 * @param workClass the class that waits for the room
	 * @param worker the worker
	 */
	private record Room(WorkClass workClass, WorkerRecord worker) {
	}

}
