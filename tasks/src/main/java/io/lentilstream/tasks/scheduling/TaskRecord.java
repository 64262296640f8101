package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.Resources;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.log.SizeFactor;

/**
 * Holds a task that was placed at least once and has not ended. Ended tasks are replaced
 * by one shared record per state, and tasks that were never placed have none, so that
 * both cost one reference.
 */
final class TaskRecord {

	/** Stands for every finished task. */
	static final TaskRecord DONE = sharedRecord(TaskState.DONE);

	/** Stands for every failed task that holds no capacity. */
	static final TaskRecord FAILED = sharedRecord(TaskState.FAILED);

	/** Stands for every cancelled task that holds no capacity. */
	static final TaskRecord CANCELLED = sharedRecord(TaskState.CANCELLED);

	/** The task was never throttled. */
	static final float NOT_THROTTLED = 2;

	final TaskGroup group;

	final int index;

	TaskState state = TaskState.PENDING;

	WorkerRecord worker;

	int workerPosition;

	SizeFactor sizeFactor = SizeFactor.DECLARED;

	Resources committed = Resources.NONE;

	String checkpoint;

	/** The start command of this attempt; 0 if an earlier owner sent it. */
	long startCommand;

	/** The newest command when the start was answered. */
	long newestCommandAtStart;

	/** The outstanding command that names this task, or 0. */
	long outstandingCommand;

	/** The command whose outcome brought the checkpoint. */
	long checkpointCommand;

	/** The command whose outcome named this task last. */
	long lastListedCommand;

	/** When the progress was last saved, or the start of the attempt. */
	long progressSavedNanos;

	/** When an eviction stops waiting for the checkpoint. */
	long checkpointDeadlineNanos;

	int evictions;

	/** The use in the last report, in thousandths of a core. */
	int usedMilliCores;

	/** The failures of this task, if any. */
	FailureHistory failureHistory;

	/** Whether the eviction makes room for an urgent task. */
	boolean preempted;

	float throttle = NOT_THROTTLED;

	/** Whether a throttle command was not carried out and must be sent again. */
	boolean throttleResendDue;

	TaskRecord(TaskGroup group, int index) {
		this.group = group;
		this.index = index;
	}

	boolean isUrgent() {
		return this.group.taskClass.isUrgent();
	}

	boolean isWaiting() {
		return this.worker == null && (this.state == TaskState.PENDING || this.state == TaskState.EVICTED);
	}

	boolean isRunning() {
		return this.state == TaskState.RUNNING || this.state == TaskState.RESUMED;
	}

	private static TaskRecord sharedRecord(TaskState state) {
		TaskRecord task = new TaskRecord(null, -1);
		task.state = state;
		return task;
	}

}
