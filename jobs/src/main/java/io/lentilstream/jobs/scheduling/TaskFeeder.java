package io.lentilstream.jobs.scheduling;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

import io.lentilstream.jobs.JobCost;

/**
 * Creates the tasks of released steps. Steps create more tasks as earlier ones start, so
 * that waiting tasks cost a leader nothing. While there are many tasks in all, each step
 * has only a few, so that small jobs do not wait behind wide ones.
 */
final class TaskFeeder {

	/** The number of tasks of a step that wait for their start at a time. */
	static final int MAX_IDLE_TASKS = 256;

	private final SchedulerState state;

	/** The released steps that have not created all tasks. */
	private final Set<StepState> unfinished = new LinkedHashSet<>();

	/** The number of tasks of all active jobs, counted a short time ago. */
	private int tasks;

	TaskFeeder(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Creates the first tasks of a step that has just been released.
	 * @param step the step
	 */
	void stepReleased(StepState step) {
		feed(step);
		if (step.hasUncreatedTasks()) {
			this.unfinished.add(step);
		}
	}

	/**
	 * Creates further tasks of the steps whose tasks have started.
	 */
	void feed() {
		Iterator<StepState> steps = this.unfinished.iterator();
		while (steps.hasNext()) {
			StepState step = steps.next();
			if (step.job.active()) {
				feed(step);
			}
			if (!step.job.active() || !step.hasUncreatedTasks()) {
				steps.remove();
			}
		}
	}

	private void feed(StepState step) {
		while (step.needsAllTasks() || mayCreate(step)) {
			Task task = step.createNext();
			if (task == null) {
				return;
			}
			this.tasks++;
			if (task.startable()) {
				this.state.addWaiting(task);
			}
		}
	}

	private boolean mayCreate(StepState step) {
		if (step.idleTasks() >= MAX_IDLE_TASKS) {
			return false;
		}
		return this.tasks < this.state.settings.maxTasks()
				|| step.idleTasks() + step.tasksWithRuns < JobCost.MIN_TASKS_PER_STEP;
	}

	/**
	 * Counts the tasks of all active jobs.
	 */
	void countTasks() {
		int count = 0;
		for (Job job : this.state.jobs.values()) {
			if (job.active()) {
				count += job.createdTasks();
			}
		}
		this.tasks = count;
	}

	/**
	 * Returns the number of tasks that wait and have not been created.
	 * @return the number
	 */
	long uncreatedTasks() {
		return this.unfinished.stream().mapToLong(StepState::uncreatedTasks).sum();
	}

}
