package io.lentilstream.tasks.scheduling;

import io.lentilstream.tasks.TaskState;

/**
 * Applies the rules of {@link TaskTransitions} and keeps the counts of jobs.
 */
final class TaskLifecycle {

	private final ShardState state;

	TaskLifecycle(ShardState state) {
		this.state = state;
	}

	void apply(TaskRecord task, TaskEvent event) {
		TaskState next = TaskTransitions.next(task.state, event)
			.orElseThrow(() -> new IllegalStateException("no rule for " + event + " of a task that is " + task.state));
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
	 * Replaces an ended task that holds no capacity by the shared record.
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
