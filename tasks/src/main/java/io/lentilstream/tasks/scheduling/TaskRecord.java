package io.lentilstream.tasks.scheduling;

import io.lentilstream.model.Resources;
import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.log.SizeFactor;

/**
 * A task that was placed at least once and has not ended. An ended task without capacity
 * is replaced by one record per state that all such tasks share, and a task that was
 * never placed has no record, so that both cost one reference.
 */
final class TaskRecord {

	/** The shared record of finished tasks. */
	static final TaskRecord DONE = sharedRecord(TaskState.DONE);

	/** The shared record of failed tasks that hold no capacity. */
	static final TaskRecord FAILED = sharedRecord(TaskState.FAILED);

	/** The shared record of cancelled tasks that hold no capacity. */
	static final TaskRecord CANCELLED = sharedRecord(TaskState.CANCELLED);

	/**
	 * The throttle of a task that was never throttled; above every share that is sent.
	 */
	static final float NOT_THROTTLED = 2;

	final TaskGroup group;

	final int index;

	TaskState state = TaskState.PENDING;

	WorkerRecord worker;

	int workerPosition;

	SizeFactor sizeFactor = SizeFactor.DECLARED;

	Resources committed = Resources.NONE;

	String checkpoint;

	/** The id of the start command of this attempt; 0 if an earlier owner sent it. */
	long startCommand;

	/**
	 * The id of the newest command when the outcome of the start arrived. Outcomes of
	 * commands up to this id may describe an earlier attempt.
	 */
	long newestCommandAtStart;

	/** The id of the outstanding command that names this task; 0 if there is none. */
	long outstandingCommand;

	/** The id of the command whose outcome contained the current checkpoint. */
	long checkpointCommand;

	/** The id of the last renewal whose outcome listed this task. */
	long lastListedCommand;

	/**
	 * The time of the last checkpoint or of the last attempt to take one; the start time
	 * of the attempt before that.
	 */
	long progressSavedNanos;

	/** The time at which an eviction stops the task without a checkpoint. */
	long checkpointDeadlineNanos;

	int evictions;

	/** The CPU usage in the last report, in thousandths of a core. */
	int usedMilliCores;

	/** The failures of this task; {@code null} if there are none. */
	FailureHistory failureHistory;

	/** Whether the eviction is counted in the pending preemptions of the worker. */
	boolean preempted;

	float throttle = NOT_THROTTLED;

	/** Whether a throttle command failed and must be sent again. */
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
