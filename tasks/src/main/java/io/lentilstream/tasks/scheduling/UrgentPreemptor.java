package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.MonotonicTime;

/**
 * Makes room for urgent tasks that fit nowhere by evicting batch tasks, early enough that
 * the urgent task starts in time. The VM takes no other work until the room is used.
 */
final class UrgentPreemptor {

	private static final int MAX_ROOMS_PER_TICK = 64;

	// Checkpoint, stop and start must fit into the time for an urgent start.
	private static final int PARTS_OF_URGENT_START = 3;

	private final ShardState state;

	private final PendingQueue queue;

	private final VictimFinder victimFinder;

	private final TaskEvictor evictor;

	private final List<WorkerRecord> preemptingWorkers = new ArrayList<>();

	UrgentPreemptor(ShardState state, PendingQueue queue, VictimFinder victimFinder, TaskEvictor evictor) {
		this.state = state;
		this.queue = queue;
		this.victimFinder = victimFinder;
		this.evictor = evictor;
	}

	void tick(StepBuilder step, MonotonicTime now) {
		finishPreemptions();
		if (!this.state.mayCommit(now)) {
			return;
		}
		int rooms = 0;
		for (TaskClass taskClass : this.queue.blockedClasses()) {
			if (!taskClass.isUrgent()) {
				continue;
			}
			int wanted = taskClass.waitingCount(MAX_ROOMS_PER_TICK) - taskClass.preemptingWorkers;
			while (wanted > 0 && rooms < MAX_ROOMS_PER_TICK && preempt(taskClass, step, now)) {
				wanted--;
				rooms++;
			}
		}
	}

	private boolean preempt(TaskClass taskClass, StepBuilder step, MonotonicTime now) {
		List<TaskRecord> chosen = this.victimFinder.find(taskClass.size(this.state.largestVm), true, (task) -> true, now);
		if (chosen.isEmpty()) {
			return false;
		}
		WorkerRecord worker = chosen.get(0).worker;
		worker.preemptingClass = taskClass;
		worker.pendingPreemptions = chosen.size();
		taskClass.preemptingWorkers++;
		this.preemptingWorkers.add(worker);
		this.state.ledger.setUrgentOnly(worker.ledgerIndex, true);
		Duration patience = this.state.settings.urgentStart().dividedBy(PARTS_OF_URGENT_START);
		for (TaskRecord task : chosen) {
			task.preempted = true;
			this.evictor.evict(task, patience, step, now);
		}
		return true;
	}

	private void finishPreemptions() {
		for (int i = this.preemptingWorkers.size() - 1; i >= 0; i--) {
			WorkerRecord worker = this.preemptingWorkers.get(i);
			if (worker.pendingPreemptions == 0) {
				this.state.ledger.setUrgentOnly(worker.ledgerIndex, false);
				worker.preemptingClass.preemptingWorkers--;
				worker.preemptingClass = null;
				this.preemptingWorkers.remove(i);
			}
		}
	}

}
