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
 * Commits and releases the capacity of tasks, and puts tasks that lost their worker back
 * into the queue.
 */
final class Placements {

	private final ShardState state;

	private final Lifecycle lifecycle;

	private final PendingQueue queue;

	/** Workers on which capacity was released since the last placement pass. */
	private final Set<WorkerRecord> freed = new LinkedHashSet<>();

	private final List<TaskLogEntry.Release> released = new ArrayList<>();

	Placements(ShardState state, Lifecycle lifecycle, PendingQueue queue) {
		this.state = state;
		this.lifecycle = lifecycle;
		this.queue = queue;
	}

	/**
	 * Attaches a task to a worker on which its capacity is committed.
	 * @param task the task
	 * @param worker the worker
	 * @param size the committed size relative to the declared one
	 * @param committed the committed size
	 */
	void attach(TaskRecord task, WorkerRecord worker, SizeFactor size, Resources committed) {
		task.worker = worker;
		task.size = size;
		task.committed = committed;
		worker.add(task);
		WorkClass workClass = task.group.workClass;
		workClass.placed++;
		workClass.team.setUsed(workClass.team.used.plus(committed), this.state.ledger.totalCapacity());
		task.group.job.addToRack(worker.rack, 1);
	}

	/**
	 * Takes over a task that an earlier owner may have started.
	 * @param task the task
	 * @param worker the worker
	 * @param size the committed size relative to the declared one
	 */
	void adopt(TaskRecord task, WorkerRecord worker, SizeFactor size) {
		Resources committed = size.applyTo(task.group.workClass.key.declared());
		this.state.ledger.commitUnchecked(worker.ledgerIndex, committed, task.urgent());
		attach(task, worker, size, committed);
	}

	/**
	 * Raises the commitment of a running task if its VM has room.
	 * @param task the task
	 * @param size the new size; not smaller in any part
	 */
	void tryRaise(TaskRecord task, SizeFactor size) {
		Resources committed = size.applyTo(task.group.workClass.key.declared());
		if (this.state.ledger.tryIncrease(task.worker.ledgerIndex, task.committed, committed, task.urgent())) {
			TeamRecord team = task.group.job.team;
			team.setUsed(team.used.minus(task.committed).plus(committed), this.state.ledger.totalCapacity());
			task.committed = committed;
			task.size = size;
		}
	}

	/**
	 * Releases the capacity of a task that certainly does not run at its worker. A task
	 * that has not ended waits for a worker again.
	 * @param task the task
	 * @param now the current time
	 */
	void release(TaskRecord task, MonotonicTime now) {
		this.released.add(new TaskLogEntry.Release(StepBuilder.key(task), task.worker.hash));
		detach(task);
		this.lifecycle.apply(task, TaskEvent.PLACE_LOST);
		if (task.waits()) {
			this.queue.putBack(task, now);
		}
	}

	/**
	 * Releases the capacity of a task as an entry of the log says.
	 * @param task the task
	 */
	void releaseQuietly(TaskRecord task) {
		detach(task);
		this.lifecycle.apply(task, TaskEvent.PLACE_LOST);
		if (task.waits()) {
			task.group.addReturned(task);
		}
	}

	/**
	 * Releases the capacity of a task and ends it.
	 * @param task the task
	 * @param event the event that ends it
	 */
	void releaseEnded(TaskRecord task, TaskEvent event) {
		if (task.worker != null) {
			detach(task);
		}
		this.lifecycle.apply(task, event);
	}

	/**
	 * Returns the releases since the last call, for the log.
	 * @return the releases
	 */
	List<TaskLogEntry.Release> takeReleased() {
		if (this.released.isEmpty()) {
			return List.of();
		}
		List<TaskLogEntry.Release> taken = List.copyOf(this.released);
		this.released.clear();
		return taken;
	}

	Set<WorkerRecord> freed() {
		return this.freed;
	}

	private void detach(TaskRecord task) {
		WorkerRecord worker = task.worker;
		this.state.ledger.release(worker.ledgerIndex, task.committed, task.urgent());
		worker.remove(task);
		WorkClass workClass = task.group.workClass;
		workClass.placed--;
		workClass.team.setUsed(workClass.team.used.minus(task.committed), this.state.ledger.totalCapacity());
		task.group.job.addToRack(worker.rack, -1);
		if (task.makesRoom) {
			task.makesRoom = false;
			worker.roomEvictions--;
		}
		task.worker = null;
		task.committed = Resources.NONE;
		task.command = 0;
		task.throttle = TaskRecord.NOT_THROTTLED;
		task.throttleLost = false;
		this.freed.add(worker);
		this.queue.unlimit(workClass.team);
	}

}
