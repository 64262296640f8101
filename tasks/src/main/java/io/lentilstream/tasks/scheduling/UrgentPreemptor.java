package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.lentilstream.model.MonotonicTime;

/**
 * The preemption of other tasks for urgent tasks for which no worker has room, early
 * enough that the urgent task starts in time. The VM accepts only urgent tasks until all
 * evictions have ended.
 */
final class UrgentPreemptor {

	private static final int MAX_PREEMPTIONS_PER_TICK = 64;

	// A checkpoint, a stop and a start must fit into the time limit for an urgent start.
	private static final int URGENT_START_PHASES = 3;

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
		int preemptions = 0;
		for (TaskClass taskClass : this.queue.blockedClasses()) {
			if (!taskClass.isUrgent()) {
				continue;
			}
			int wanted = taskClass.waitingCount(MAX_PREEMPTIONS_PER_TICK) - taskClass.preemptingWorkerCount;
			while (wanted > 0 && preemptions < MAX_PREEMPTIONS_PER_TICK && preempt(taskClass, step, now)) {
				wanted--;
				preemptions++;
			}
		}
	}

	private boolean preempt(TaskClass taskClass, StepBuilder step, MonotonicTime now) {
		List<TaskRecord> victims = this.victimFinder.find(taskClass.size(this.state.largestVm), true, (task) -> true,
				now);
		if (victims.isEmpty()) {
			return false;
		}
		WorkerRecord worker = victims.get(0).worker;
		worker.preemptingClass = taskClass;
		worker.pendingPreemptions = victims.size();
		taskClass.preemptingWorkerCount++;
		this.preemptingWorkers.add(worker);
		this.state.ledger.setUrgentOnly(worker.ledgerIndex, true);
		Duration checkpointTimeout = this.state.settings.urgentStartDeadline().dividedBy(URGENT_START_PHASES);
		for (TaskRecord task : victims) {
			task.preempted = true;
			this.evictor.evict(task, checkpointTimeout, step, now);
		}
		return true;
	}

	private void finishPreemptions() {
		for (int i = this.preemptingWorkers.size() - 1; i >= 0; i--) {
			WorkerRecord worker = this.preemptingWorkers.get(i);
			if (worker.pendingPreemptions == 0) {
				this.state.ledger.setUrgentOnly(worker.ledgerIndex, false);
				worker.preemptingClass.preemptingWorkerCount--;
				worker.preemptingClass = null;
				this.preemptingWorkers.remove(i);
			}
		}
	}

}
