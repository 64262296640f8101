package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.lentilstream.model.VmId;
import io.lentilstream.tasks.WorkerDescription;

/**
 * Holds a worker. After a takeover, a worker that the list does not name yet is known by
 * its index in the log only.
 */
final class WorkerRecord {

	final long hash;

	final int ledgerIndex;

	final List<TaskRecord> tasks = new ArrayList<>(4);

	/** Classes of the tasks here, without repetition, with the number of tasks. */
	private final List<TaskClass> classes = new ArrayList<>(4);

	private int[] classCounts = new int[4];

	VmId vm;

	WorkerDescription description;

	boolean listed;

	int rack;

	/**
	 * Whether the worker listed its tasks to this owner since they could have changed.
	 */
	boolean reconciled;

	/** Until when an earlier owner's tasks may run here. */
	long earlierLeasesEndNanos;

	/** Until when a lease that this owner granted may last, clock margin included. */
	long latestLeaseEndNanos;

	/** Outstanding commands that can extend a lease. */
	int outstandingLeaseCommands;

	/** The outstanding renewal or ping, or 0. */
	long renewCommand;

	long renewDueNanos;

	/** The outstanding stop of tasks that should not run here, or 0. */
	long orphanStopCommand;

	/** Commands in a row without a reply. */
	int unansweredCommands;

	ProbationState probation = ProbationState.NONE;

	/** When the probe is due; when it started, once it runs. */
	long probeTimeNanos;

	/** The groups whose tasks failed here since the last success. */
	final Set<TaskGroup> failedGroups = new LinkedHashSet<>(0);

	int consecutiveFailures;

	long startBackoffUntilNanos;

	long usedMilliCores;

	long usedMemory;

	int consecutiveOverloadedReports;

	/** The evictions under way that make room for an urgent task. */
	int pendingPreemptions;

	/** The class that waits for the room. */
	TaskClass preemptingClass;

	WorkerRecord(long hash, int ledgerIndex) {
		this.hash = hash;
		this.ledgerIndex = ledgerIndex;
	}

	void add(TaskRecord task) {
		task.workerPosition = this.tasks.size();
		this.tasks.add(task);
		TaskClass taskClass = task.group.taskClass;
		int position = this.classes.indexOf(taskClass);
		if (position < 0) {
			position = this.classes.size();
			this.classes.add(taskClass);
			if (position == this.classCounts.length) {
				this.classCounts = java.util.Arrays.copyOf(this.classCounts, 2 * position);
			}
			this.classCounts[position] = 0;
		}
		this.classCounts[position]++;
	}

	void remove(TaskRecord task) {
		int last = this.tasks.size() - 1;
		TaskRecord moved = this.tasks.get(last);
		this.tasks.set(task.workerPosition, moved);
		moved.workerPosition = task.workerPosition;
		this.tasks.remove(last);
		int position = this.classes.indexOf(task.group.taskClass);
		this.classCounts[position]--;
		if (this.classCounts[position] == 0) {
			int lastClass = this.classes.size() - 1;
			this.classes.set(position, this.classes.get(lastClass));
			this.classCounts[position] = this.classCounts[lastClass];
			this.classes.remove(lastClass);
		}
	}

	List<TaskClass> classes() {
		return this.classes;
	}

	/**
	 * Where a worker stands after failures.
	 */
	enum ProbationState {

		/** Gets work. */
		NONE,

		/** Gets no work. */
		WAITING,

		/** May get one task. */
		PROBE_DUE,

		/** Runs its probe. */
		PROBING

	}

}
