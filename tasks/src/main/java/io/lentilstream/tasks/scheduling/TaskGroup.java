package io.lentilstream.tasks.scheduling;

import java.util.ArrayDeque;

/**
 * The tasks of one declaration of a job.
 */
final class TaskGroup {

	final JobRecord job;

	final TaskClass taskClass;

	final int first;

	final int end;

	/** The index of the first task that was never placed. */
	int firstUnplaced;

	/**
	 * Tasks that lost their worker, or {@code null}; they may have ended since.
	 */
	private ArrayDeque<TaskRecord> requeued;

	/** The failures of all tasks of the group. */
	final FailureHistory failureHistory = new FailureHistory();

	/** Whether a task of the group finished under this owner. */
	boolean anySucceeded;

	boolean queued;

	boolean delayed;

	long delayedUntilNanos;

	int consecutiveFailures;

	/** The time since which the first tasks wait. */
	long waitingSinceNanos;

	TaskGroup(JobRecord job, TaskClass taskClass, int first, int end) {
		this.job = job;
		this.taskClass = taskClass;
		this.first = first;
		this.end = end;
		this.firstUnplaced = first;
	}

	boolean hasWaiting() {
		if (this.firstUnplaced < this.end) {
			return true;
		}
		return peekRequeued() != null;
	}

	/**
	 * Returns the number of waiting tasks.
	 * @return the number; may count some that ended while they waited
	 */
	int waitingCount() {
		return this.end - this.firstUnplaced + ((this.requeued != null) ? this.requeued.size() : 0);
	}

	TaskRecord peekRequeued() {
		while (this.requeued != null && !this.requeued.isEmpty()) {
			TaskRecord task = this.requeued.peekFirst();
			if (task.isWaiting()) {
				return task;
			}
			this.requeued.removeFirst();
		}
		this.requeued = null;
		return null;
	}

	void requeue(TaskRecord task) {
		if (this.requeued == null) {
			this.requeued = new ArrayDeque<>(2);
		}
		this.requeued.addLast(task);
	}

	/**
	 * Removes the next task to place; tasks that were placed before come first.
	 * @return the task
	 */
	TaskRecord pollNext() {
		TaskRecord task = peekRequeued();
		if (task != null) {
			this.requeued.removeFirst();
			return task;
		}
		return createNextRecord();
	}

	/**
	 * Creates the record of the first task that was never placed.
	 * @return the record
	 */
	TaskRecord createNextRecord() {
		TaskRecord task = new TaskRecord(this, this.firstUnplaced);
		this.job.tasks[this.firstUnplaced] = task;
		this.firstUnplaced++;
		return task;
	}

}
