package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.TreeMap;

import io.lentilstream.jobs.StepSpec;

/**
 * The state of a step within an occurrence of a job. Tasks that have not started differ
 * by their index only, and of a task that is done only that is known. So a wide step
 * creates its tasks as earlier ones start, and discards them when they are done. Load
 * pattern: steps of many thousand tasks, of which a leader could not hold all.
 */
final class StepState {

	/**
	 * The number of tasks up to which a step keeps those that are done, for the times of
	 * its job, unless there are many tasks in all.
	 */
	static final int MAX_KEPT_TASKS = 256;

	final Job job;

	final int occurrence;

	final int number;

	final StepSpec spec;

	int done;

	/** The number of runs of the tasks. */
	int runs;

	/** The number of tasks with runs. */
	int tasksWithRuns;

	/**
	 * Whether the tasks may start: the occurrence is due and all dependencies are done.
	 */
	boolean released;

	/** When the tasks were released, in milliseconds. */
	long releasedAt;

	/** The latest start that meets the objective of the job, in milliseconds. */
	long dueAt;

	/**
	 * The latest start with which the job misses its objective but is still of use, in
	 * milliseconds.
	 */
	long lateDueAt;

	/**
	 * Whether no predecessor can have started tasks of the steps that depend on this one.
	 */
	boolean dependentsRuledOut;

	/**
	 * Whether a predecessor may have started tasks that this scheduler has not created.
	 */
	boolean mayHaveUnknownRuns;

	private final TreeMap<Integer, Task> tasks = new TreeMap<>();

	/** Whether tasks are discarded when they are done. */
	private boolean discardsDone;

	/** The last placement pass in which a task was refused. */
	private long refusedPass = -1;

	/** A bit for each kind of task that was refused in it. */
	private long refusedKinds;

	/** The tasks that are done. */
	private final BitSet doneTasks = new BitSet();

	/** The lowest index of a task that has not been created, apart from single ones. */
	private int nextIndex;

	/** The number of tasks in {@link #tasks} that are done. */
	private int doneCreated;

	/**
	 * The task that was done last, which tells when the step ended, if others are
	 * discarded; {@code null} if there is none.
	 */
	private Task lastDone;

	/** The measured run times of tasks, in milliseconds at full speed near their data. */
	private final List<Long> runMillis = new ArrayList<>();

	StepState(Job job, int occurrence, int number, StepSpec spec) {
		this.job = job;
		this.occurrence = occurrence;
		this.number = number;
		this.spec = spec;
		if (spec.count() > MAX_KEPT_TASKS) {
			discardDone();
		}
	}

	/**
	 * Returns the tasks that have been created and not discarded.
	 * @return the tasks by index
	 */
	Collection<Task> tasks() {
		return Collections.unmodifiableCollection(this.tasks.values());
	}

	/**
	 * Returns a task, which is created if necessary. A task that was discarded is done.
	 * @param index the index
	 * @return the task, or {@code null} if the step has no task with this index
	 */
	Task task(int index) {
		if (index < 0 || index >= this.spec.count()) {
			return null;
		}
		Task known = this.tasks.get(index);
		return (known != null) ? known : create(index);
	}

	private Task create(int index) {
		Task task = new Task(this.job, this, index);
		task.done = this.doneTasks.get(index);
		task.possiblyRunning = this.mayHaveUnknownRuns && !task.done;
		task.dueAt = this.dueAt;
		task.lateDueAt = this.lateDueAt;
		if (!task.done || !this.discardsDone) {
			this.tasks.put(index, task);
			this.doneCreated += task.done ? 1 : 0;
		}
		if (this.released) {
			TaskTimerEvents.released(task, this.releasedAt);
		}
		return task;
	}

	/**
	 * Creates the next task that has not been created and is not done.
	 * @return the task, or {@code null} if there is none
	 */
	Task createNext() {
		while (hasUncreatedTasks()) {
			int index = this.nextIndex++;
			if (!this.tasks.containsKey(index) && !this.doneTasks.get(index)) {
				return create(index);
			}
		}
		return null;
	}

	boolean hasUncreatedTasks() {
		return this.nextIndex < this.spec.count();
	}

	/**
	 * Returns the number of tasks that are neither created nor done.
	 * @return the number
	 */
	int uncreatedTasks() {
		return Math.max(0, this.spec.count() - this.done - openTasks());
	}

	private int openTasks() {
		return this.tasks.size() - this.doneCreated;
	}

	/**
	 * Returns the number of created tasks that are not done and have no run.
	 * @return the number
	 */
	int idleTasks() {
		return Math.max(0, openTasks() - this.tasksWithRuns);
	}

	/**
	 * Returns the number of tasks that are done and have not been discarded.
	 * @return the number
	 */
	long doneTasks() {
		return this.doneCreated;
	}

	/**
	 * Tells whether all tasks have to exist at once, since they run together or for as
	 * long as their job.
	 * @return {@code false} if tasks may be created as earlier ones start
	 */
	boolean needsAllTasks() {
		return this.spec.traits().gang() || this.spec.traits().longRunning();
	}

	/**
	 * Tells whether the tasks that are done are stored as a bit each.
	 * @return {@code false} if each of them has an entry of its own
	 */
	boolean storesDoneBits() {
		return this.done > this.doneCreated || this.discardsDone && this.done > 0;
	}

	/**
	 * Discards tasks when they are done, from now on.
	 */
	void discardDone() {
		this.discardsDone = !needsAllTasks();
	}

	/**
	 * Records that a task was refused, so that none of its kind need be tried in a pass.
	 * The members of a gang are refused together.
	 * @param pass the number of the pass
	 * @param hasRunBefore whether the task has run before
	 * @param concessions the concessions to the task
	 */
	void refuseInPass(long pass, boolean hasRunBefore, int concessions) {
		if (this.refusedPass != pass) {
			this.refusedPass = pass;
			this.refusedKinds = 0;
		}
		this.refusedKinds |= kind(hasRunBefore, concessions);
	}

	boolean refusedInPass(long pass, boolean hasRunBefore, int concessions) {
		return this.refusedPass == pass && (this.refusedKinds & kind(hasRunBefore, concessions)) != 0;
	}

	private long kind(boolean hasRunBefore, int concessions) {
		boolean rerun = hasRunBefore && !this.spec.traits().gang();
		return 1L << (concessions | (rerun ? 1 << PlacementConcessions.BITS : 0));
	}

	/**
	 * Records that a task is done.
	 * @param task the task
	 */
	void markDone(Task task) {
		task.done = true;
		recordDone(task.name.index());
		this.doneCreated++;
		if (this.discardsDone) {
			if (this.lastDone != null) {
				this.tasks.remove(this.lastDone.name.index());
				this.doneCreated--;
			}
			this.lastDone = task;
		}
	}

	/**
	 * Records that a task is done that need not be created.
	 * @param index the index of the task
	 */
	void recordDone(int index) {
		if (!this.doneTasks.get(index)) {
			this.doneTasks.set(index);
			this.done++;
		}
	}

	/**
	 * Returns the tasks that are done.
	 * @return a bit for each task
	 */
	byte[] doneBits() {
		return this.doneTasks.toByteArray();
	}

	void addRunMillis(long millis) {
		this.runMillis.add(millis);
	}

	long[] runMillis() {
		return this.runMillis.stream().mapToLong(Long::longValue).toArray();
	}

	/**
	 * Returns the longest measured run time. The members of a gang end together.
	 * @return the time in milliseconds; 0 if a task was not measured
	 */
	long longestRunMillis() {
		int needed = this.spec.traits().gang() ? 1 : this.spec.count();
		return (this.runMillis.size() < needed) ? 0
				: this.runMillis.stream().mapToLong(Long::longValue).max().orElse(0);
	}

	boolean complete() {
		return this.done == this.spec.count();
	}

}
