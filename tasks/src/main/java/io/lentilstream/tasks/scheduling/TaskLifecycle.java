package io.lentilstream.tasks.scheduling;

import io.lentilstream.tasks.TaskState;

/**
 * The lifecycle of tasks: applies events according to {@link TaskTransitions} and
 * maintains the task counts of jobs and of the shard.
 */
final class TaskLifecycle {

	private final ShardState state;

	TaskLifecycle(ShardState state) {
		this.state = state;
	}

	void apply(TaskRecord task, TaskEvent event) {
		TaskState next = TaskTransitions.next(task.state, event)
			.orElseThrow(
					() -> new IllegalStateException("no transition for " + event + " of a task that is " + task.state));
		if (next != task.state) {
			count(task.group.job, task.state, next, 1);
			task.state = next;
		}
		compact(task);
	}

	/**
	 * Ends all tasks of a group that were never placed.
	 * @param group the group
	 * @param end the final state
	 */
	void endUnplaced(TaskGroup group, TaskState end) {
		count(group.job, TaskState.PENDING, end, group.end - group.firstUnplaced);
		group.firstUnplaced = group.end;
	}

	/**
	 * Replaces the record of an ended task that holds no capacity by the shared record of
	 * its state.
	 * @param task the task
	 */
	void compact(TaskRecord task) {
		if (task.worker != null || !task.state.isEnded()) {
			return;
		}
		TaskRecord shared = switch (task.state) {
			case DONE -> TaskRecord.DONE;
			case FAILED -> TaskRecord.FAILED;
			default -> TaskRecord.CANCELLED;
		};
		task.group.job.tasks[task.index] = shared;
	}

	private void count(JobRecord job, TaskState from, TaskState to, int tasks) {
		job.counts[from.ordinal()] -= tasks;
		job.counts[to.ordinal()] += tasks;
		this.state.counts[from.ordinal()] -= tasks;
		this.state.counts[to.ordinal()] += tasks;
	}

}
