package io.lentilstream.tasks.scheduling;

import java.util.ArrayDeque;

/**
 * Holds the tasks of one declaration of a job.
 */
final class TaskGroup {

	final JobRecord job;

	final WorkClass workClass;

	final int first;

	final int end;

	/** The first task that was never placed. */
	int next;

	/** Tasks that lost their worker; they may have ended since. */
	private ArrayDeque<TaskRecord> returned;

	/** The failures of all tasks of the group. */
	final FailureEvidence failures = new FailureEvidence();

	/** Whether a task of the group finished under this owner. */
	boolean succeeded;

	boolean queued;

	boolean delayed;

	long delayedUntilNanos;

	int failuresInRow;

	/** When the tasks at the head began to wait. */
	long waitingSinceNanos;

	TaskGroup(JobRecord job, WorkClass workClass, int first, int end) {
		this.job = job;
		this.workClass = workClass;
		this.first = first;
		this.end = end;
		this.next = first;
	}

	boolean hasWaiting() {
		if (this.next < this.end) {
			return true;
		}
		return peekReturned() != null;
	}

	/**
	 * Returns the number of waiting tasks.
	 * @return the number; may count some that ended while they waited
	 */
	int waiting() {
		return this.end - this.next + ((this.returned != null) ? this.returned.size() : 0);
	}

	TaskRecord peekReturned() {
		while (this.returned != null && !this.returned.isEmpty()) {
			TaskRecord task = this.returned.peekFirst();
			if (task.waits()) {
				return task;
			}
			this.returned.removeFirst();
		}
		this.returned = null;
		return null;
	}

	void addReturned(TaskRecord task) {
		if (this.returned == null) {
			this.returned = new ArrayDeque<>(2);
		}
		this.returned.addLast(task);
	}

	/**
	 * Takes the next task to place; evicted ones first.
	 * @return the task
	 */
	TaskRecord takeNext() {
		TaskRecord task = peekReturned();
		if (task != null) {
			this.returned.removeFirst();
			return task;
		}
		return createNext();
	}

	/**
	 * Creates the record of the next task that has none.
	 * @return the record
	 */
	TaskRecord createNext() {
		TaskRecord task = new TaskRecord(this, this.next);
		this.job.tasks[this.next] = task;
		this.next++;
		return task;
	}

}
