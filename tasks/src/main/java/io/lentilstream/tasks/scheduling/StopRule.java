package io.lentilstream.tasks.scheduling;

/**
 * Orders the stop of tasks that hold capacity and must not run on. A task whose start has
 * not been answered is stopped after the answer, so that the stop cannot overtake the
 * start.
 */
final class StopRule {

	private final ShardState state;

	StopRule(ShardState state) {
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
		task.command = step.stop(this.state, task.worker, this.state.idOf(task));
	}

	private static boolean isStarting(TaskRecord task) {
		return task.attemptCommand != 0 && task.command == task.attemptCommand;
	}

}
