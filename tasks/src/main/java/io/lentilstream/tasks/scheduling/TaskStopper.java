package io.lentilstream.tasks.scheduling;

/**
 * The stop of tasks that hold capacity and must not continue to run. A task whose start
 * is outstanding is stopped after the outcome of the start, so that the stop cannot
 * overtake the start.
 */
final class TaskStopper {

	private final ShardState state;

	TaskStopper(ShardState state) {
		this.state = state;
	}

	/**
	 * Stops a task unless its start is outstanding or its VM is not known yet.
	 * @param task the task
	 * @param step the step
	 */
	void stopIfPlaced(TaskRecord task, StepBuilder step) {
		if (task.worker == null || task.worker.vm == null || isStarting(task)) {
			return;
		}
		task.outstandingCommand = step.addStop(this.state, task.worker, this.state.taskId(task));
	}

	private static boolean isStarting(TaskRecord task) {
		return task.startCommand != 0 && task.outstandingCommand == task.startCommand;
	}

}
