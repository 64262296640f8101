package io.lentilstream.jobs.scheduling;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.lentilstream.jobs.JobCost;

/**
 * Creates the tasks of released steps. Steps create more tasks as earlier ones start, so
 * that waiting tasks cost a leader nothing. While the tasks of all jobs take much memory,
 * each step has only a few, so that small jobs do not wait behind wide ones, and those
 * that are done are discarded.
 */
final class TaskFeeder {

	/** The number of tasks of a step that wait for their start at a time. */
	static final int MAX_IDLE_TASKS = 256;

	/** The share of the memory for tasks that those that are done may take. */
	private static final double DONE_SHARE = 0.3;

	private final SchedulerState state;

	/** The released steps that have not created all tasks. */
	private final Set<StepState> unfinished = new LinkedHashSet<>();

	/** The memory of tasks that are not done, counted a short time ago, in bytes. */
	private long openBytes;

	/** The memory of tasks that are done, counted a short time ago, in bytes. */
	private long doneBytes;

	TaskFeeder(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Creates the first tasks of a step that has just been released.
	 * @param step the step
	 */
	void stepReleased(StepState step) {
		if (this.doneBytes > DONE_SHARE * this.state.settings.maxTaskBytes()) {
			step.discardDone();
		}
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
			this.openBytes += JobCost.TASK_BYTES;
			if (task.startable()) {
				this.state.addWaiting(task);
			}
		}
	}

	private boolean mayCreate(StepState step) {
		if (step.idleTasks() >= MAX_IDLE_TASKS) {
			return false;
		}
		return this.openBytes < (1 - DONE_SHARE) * this.state.settings.maxTaskBytes()
				|| step.idleTasks() + step.tasksWithRuns < JobCost.MIN_TASKS_PER_STEP;
	}

	/**
	 * Counts the memory of the tasks of all jobs.
	 */
	void countTasks() {
		long open = 0;
		long done = 0;
		for (Job job : this.state.jobs.values()) {
			for (List<StepState> steps : job.occurrences.values()) {
				for (StepState step : steps) {
					long idle = step.idleTasks();
					open += step.tasksWithRuns * JobCost.TASK_BYTES + idle * JobCost.IDLE_TASK_BYTES;
					done += step.doneTasks() * JobCost.IDLE_TASK_BYTES;
				}
			}
		}
		this.openBytes = open;
		this.doneBytes = done;
	}

	/**
	 * Returns the number of tasks that wait and have not been created.
	 * @return the number
	 */
	long uncreatedTasks() {
		return this.unfinished.stream().mapToLong(StepState::uncreatedTasks).sum();
	}

}
