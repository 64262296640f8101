package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.lentilstream.model.VmId;
import io.lentilstream.tasks.WorkerDescription;

/**
 * A worker. After a takeover, a worker that is not listed yet is known only by the hash
 * under which the log names it; its VM is {@code null}.
 */
final class WorkerRecord {

	final long hash;

	final int ledgerIndex;

	final List<TaskRecord> tasks = new ArrayList<>(4);

	/**
	 * The distinct task classes of the tasks on this worker; {@link #classCounts} holds
	 * the number of tasks of each.
	 */
	private final List<TaskClass> classes = new ArrayList<>(4);

	private int[] classCounts = new int[4];

	VmId vm;

	WorkerDescription description;

	boolean listed;

	int rack;

	/**
	 * Whether the worker has listed its tasks to this owner since the last time that they
	 * could have changed unobserved.
	 */
	boolean reconciled;

	/** The time after which no lease granted by an earlier owner can be valid here. */
	long earlierLeasesEndNanos;

	/** The latest end of a lease granted by this owner, clock margin included. */
	long latestLeaseEndNanos;

	/** The number of outstanding commands that can extend a lease. */
	int outstandingLeaseCommands;

	/** The id of the outstanding renewal or ping; 0 if there is none. */
	long renewCommand;

	long renewDueNanos;

	/** The id of the outstanding stop of orphaned tasks; 0 if there is none. */
	long orphanStopCommand;

	/** The number of consecutive commands without a reply. */
	int unansweredCommands;

	ProbationState probation = ProbationState.NONE;

	/** The time at which the probe is due, or at which it started once it runs. */
	long probeTimeNanos;

	/** Groups with a task that failed on this worker since its last success. */
	final Set<TaskGroup> failedGroups = new LinkedHashSet<>(0);

	int consecutiveFailures;

	long startBackoffUntilNanos;

	long usedMilliCores;

	long usedMemory;

	int consecutiveOverloadedReports;

	/** The number of evictions that must end before the preempted capacity is free. */
	int pendingPreemptions;

	/**
	 * The urgent task class for which tasks on this worker are preempted; {@code null} if
	 * there is none.
	 */
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
	 * The probation state of a worker after failures.
	 */
	enum ProbationState {

		/** Not on probation; gets work. */
		NONE,

		/** On probation; gets no work. */
		WAITING,

		/** May get one task as a probe. */
		PROBE_DUE,

		/** Runs the probe; gets no other work. */
		PROBING

	}

}
