package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.MonotonicTime;

/**
 * Makes room for urgent tasks that fit nowhere by evicting batch tasks, early enough that
 * the urgent task starts in time. The VM takes no other work until the room is used.
 */
final class UrgentRoomRule {

	private static final int MAX_ROOMS_PER_TICK = 64;

	// Checkpoint, stop and start must fit into the time for an urgent start.
	private static final int PARTS_OF_URGENT_START = 3;

	private final ShardState state;

	private final PendingQueue queue;

	private final VictimFinder victims;

	private final EvictionRule evictions;

	private final List<WorkerRecord> making = new ArrayList<>();

	UrgentRoomRule(ShardState state, PendingQueue queue, VictimFinder victims, EvictionRule evictions) {
		this.state = state;
		this.queue = queue;
		this.victims = victims;
		this.evictions = evictions;
	}

	void tick(StepBuilder step, MonotonicTime now) {
		reopen();
		if (!this.state.mayCommit(now)) {
			return;
		}
		int rooms = 0;
		for (WorkClass workClass : this.queue.blockedClasses()) {
			if (!workClass.urgent()) {
				continue;
			}
			int wanted = workClass.waiting(MAX_ROOMS_PER_TICK) - workClass.roomsRequested;
			while (wanted > 0 && rooms < MAX_ROOMS_PER_TICK && makeRoom(workClass, step, now)) {
				wanted--;
				rooms++;
			}
		}
	}

	private boolean makeRoom(WorkClass workClass, StepBuilder step, MonotonicTime now) {
		List<TaskRecord> chosen = this.victims.find(workClass.size(this.state.largestVm), true, (task) -> true, now);
		if (chosen.isEmpty()) {
			return false;
		}
		WorkerRecord worker = chosen.get(0).worker;
		worker.roomFor = workClass;
		worker.roomEvictions = chosen.size();
		workClass.roomsRequested++;
		this.making.add(worker);
		this.state.ledger.setUrgentOnly(worker.ledgerIndex, true);
		Duration patience = this.state.settings.urgentStartDeadline().dividedBy(PARTS_OF_URGENT_START);
		for (TaskRecord task : chosen) {
			task.makesRoom = true;
			this.evictions.evict(task, patience, step, now);
		}
		return true;
	}

	private void reopen() {
		for (int i = this.making.size() - 1; i >= 0; i--) {
			WorkerRecord worker = this.making.get(i);
			if (worker.roomEvictions == 0) {
				this.state.ledger.setUrgentOnly(worker.ledgerIndex, false);
				worker.roomFor.roomsRequested--;
				worker.roomFor = null;
				this.making.remove(i);
			}
		}
	}

}
