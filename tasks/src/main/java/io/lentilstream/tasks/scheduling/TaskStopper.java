package io.lentilstream.tasks.scheduling;

/**
 * Orders the stop of tasks that hold capacity and must not run on. A task whose start has
 * not been answered is stopped after the answer, so that the stop cannot overtake the
 * start.
 */
final class TaskStopper {

	private final ShardState state;

	TaskStopper(ShardState state) {
		this.state = state;
	}

	/**
	 * Orders the stop unless the start is outstanding or the worker is not known by name.
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
