package io.lentilstream.tasks.scheduling;

import java.time.Duration;
import java.util.Iterator;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.tasks.TaskState;

/**
 * The eviction of tasks: requests a checkpoint, then sends the stop. The stop is sent
 * without a checkpoint if none arrives before the timeout.
 */
final class TaskEvictor {

	private final ShardState state;

	private final TaskLifecycle lifecycle;

	private final TaskStopper stopper;

	private final CheckpointManager checkpoints;

	TaskEvictor(ShardState state, TaskLifecycle lifecycle, TaskStopper stopper, CheckpointManager checkpoints) {
		this.state = state;
		this.lifecycle = lifecycle;
		this.stopper = stopper;
		this.checkpoints = checkpoints;
	}

	/**
	 * Tells whether a task can be evicted now: it runs, no command about it is
	 * outstanding, and its worker replies.
	 * @param task the task
	 * @return whether the task can be evicted
	 */
	static boolean canEvict(TaskRecord task) {
		return task.isRunning() && task.outstandingCommand == 0 && task.worker.unansweredCommands == 0;
	}

	void evict(TaskRecord task, Duration checkpointTimeout, StepBuilder step, MonotonicTime now) {
		this.lifecycle.apply(task, TaskEvent.CHECKPOINT_REQUESTED);
		task.checkpointDeadlineNanos = now.plus(checkpointTimeout).nanos();
		task.evictions++;
		this.state.totals.evictions++;
		this.state.awaitingCheckpoint.add(task);
		this.checkpoints.request(task, step);
	}

	/**
	 * Sends the stop after the checkpoint was taken, failed or timed out.
	 * @param task the task
	 * @param step the step
	 */
	void stop(TaskRecord task, StepBuilder step) {
		this.lifecycle.apply(task, TaskEvent.STOP_REQUESTED);
		this.stopper.stopIfPlaced(task, step);
	}

	void tick(StepBuilder step, MonotonicTime now) {
		Iterator<TaskRecord> tasks = this.state.awaitingCheckpoint.iterator();
		while (tasks.hasNext()) {
			TaskRecord task = tasks.next();
			if (task.state != TaskState.CHECKPOINTING) {
				tasks.remove();
			}
			else if (now.nanos() - task.checkpointDeadlineNanos >= 0) {
				tasks.remove();
				stop(task, step);
			}
		}
	}

}
