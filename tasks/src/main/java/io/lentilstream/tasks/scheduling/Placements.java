package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Resources;
import io.lentilstream.tasks.log.SizeFactor;
import io.lentilstream.tasks.log.TaskLogEntry;

/**
 * The assignments of tasks to workers. Commits and releases the capacity of tasks, and
 * requeues tasks that lost their worker.
 */
final class Placements {

	private final ShardState state;

	private final TaskLifecycle lifecycle;

	private final PendingQueue queue;

	/** Workers on which capacity was freed since the last placement pass. */
	private final Set<WorkerRecord> freedWorkers = new LinkedHashSet<>();

	private final List<TaskLogEntry.Release> released = new ArrayList<>();

	Placements(ShardState state, TaskLifecycle lifecycle, PendingQueue queue) {
		this.state = state;
		this.lifecycle = lifecycle;
		this.queue = queue;
	}

	/**
	 * Assigns a task to a worker on which its capacity is already committed.
	 * @param task the task
	 * @param worker the worker
	 * @param size the committed size relative to the declared one
	 * @param committed the committed size
	 */
	void attach(TaskRecord task, WorkerRecord worker, SizeFactor size, Resources committed) {
		task.worker = worker;
		task.sizeFactor = size;
		task.committed = committed;
		worker.add(task);
		TaskClass taskClass = task.group.taskClass;
		taskClass.placedTasks++;
		taskClass.team.setUsed(taskClass.team.used.plus(committed), this.state.ledger.totalCapacity());
		task.group.job.addToRack(worker.rack, 1);
	}

	/**
	 * Assigns a task to the worker on which an earlier owner may have started it, and
	 * commits its capacity even if the worker has no room.
	 * @param task the task
	 * @param worker the worker
	 * @param size the committed size relative to the declared one
	 */
	void adopt(TaskRecord task, WorkerRecord worker, SizeFactor size) {
		Resources committed = size.applyTo(task.group.taskClass.key.declared());
		this.state.ledger.commitUnchecked(worker.ledgerIndex, committed, task.isUrgent());
		attach(task, worker, size, committed);
	}

	/**
	 * Raises the commitment of a running task if its VM has room; does nothing otherwise.
	 * @param task the task
	 * @param size the new size; not smaller in any part
	 */
	void tryIncrease(TaskRecord task, SizeFactor size) {
		Resources committed = size.applyTo(task.group.taskClass.key.declared());
		if (this.state.ledger.tryIncrease(task.worker.ledgerIndex, task.committed, committed, task.isUrgent())) {
			TeamRecord team = task.group.job.team;
			team.setUsed(team.used.minus(task.committed).plus(committed), this.state.ledger.totalCapacity());
			task.committed = committed;
			task.sizeFactor = size;
		}
	}

	/**
	 * Releases the capacity of a task that can no longer be running on its worker. A task
	 * that has not ended is requeued.
	 * @param task the task
	 * @param now the current time
	 */
	void release(TaskRecord task, MonotonicTime now) {
		this.released.add(new TaskLogEntry.Release(StepBuilder.key(task), task.worker.hash));
		detach(task);
		this.lifecycle.apply(task, TaskEvent.PLACEMENT_LOST);
		if (task.isWaiting()) {
			this.queue.requeue(task, now);
		}
	}

	/**
	 * Releases the capacity of a task during replay, without a new log entry.
	 * @param task the task
	 */
	void releaseReplayed(TaskRecord task) {
		detach(task);
		this.lifecycle.apply(task, TaskEvent.PLACEMENT_LOST);
		if (task.isWaiting()) {
			task.group.requeue(task);
		}
	}

	/**
	 * Ends a task and releases its capacity, if any.
	 * @param task the task
	 * @param event the event that ends it
	 */
	void releaseAndEnd(TaskRecord task, TaskEvent event) {
		if (task.worker != null) {
			detach(task);
		}
		this.lifecycle.apply(task, event);
	}

	/**
	 * Returns the releases since the last call, for the log.
	 * @return the releases
	 */
	List<TaskLogEntry.Release> drainReleased() {
		if (this.released.isEmpty()) {
			return List.of();
		}
		List<TaskLogEntry.Release> taken = List.copyOf(this.released);
		this.released.clear();
		return taken;
	}

	Set<WorkerRecord> freedWorkers() {
		return this.freedWorkers;
	}

	private void detach(TaskRecord task) {
		WorkerRecord worker = task.worker;
		this.state.ledger.release(worker.ledgerIndex, task.committed, task.isUrgent());
		worker.remove(task);
		TaskClass taskClass = task.group.taskClass;
		taskClass.placedTasks--;
		taskClass.team.setUsed(taskClass.team.used.minus(task.committed), this.state.ledger.totalCapacity());
		task.group.job.addToRack(worker.rack, -1);
		if (task.preempted) {
			task.preempted = false;
			worker.pendingPreemptions--;
		}
		task.worker = null;
		task.committed = Resources.NONE;
		task.outstandingCommand = 0;
		task.throttle = TaskRecord.NOT_THROTTLED;
		task.throttleResendDue = false;
		this.freedWorkers.add(worker);
		this.queue.readyLimitedClasses(taskClass.team);
	}

}
