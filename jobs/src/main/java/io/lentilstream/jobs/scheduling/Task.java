package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.StoredSuspicion;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerId;
import io.lentilstream.jobs.accounting.TaskTimer;

/**
 * A task of an accepted job.
 */
final class Task {

	final Job job;

	final StepState step;

	final TaskName name;

	boolean done;

	/**
	 * The numbers of the failed runs. This is a set, since a VM may report an end more
	 * than once.
	 */
	final Set<Integer> failedRuns = new TreeSet<>();

	int lastRun;

	String checkpoint = "";

	/** The last reported progress of the last run that ended, in percent. */
	int lastPercent;

	/**
	 * The VM on which a run last failed or stalled, which the next run avoids if
	 * possible; {@code null} if none did.
	 */
	WorkerId failedOn;

	/** Whether a run that the predecessor started may still be in progress on some VM. */
	boolean possiblyRunning;

	/** The earliest time of the next start, in milliseconds. */
	long notBefore;

	/**
	 * The time by which the task should start, in milliseconds; determines its position
	 * among the waiting tasks.
	 */
	long dueAt;

	/**
	 * The latest start, in milliseconds, with which the job misses its objective but is
	 * still of use.
	 */
	long lateDueAt;

	/** The earliest time of the next move to another VM, in milliseconds. */
	long nextMoveAt;

	/** When the task last began to wait, in milliseconds. */
	long waitingSince;

	/** Whether the task had already run when it last began to wait. */
	boolean hasRunBefore;

	final List<Run> runs = new ArrayList<>(1);

	final TaskTimer timer = new TaskTimer();

	final Suspicion suspicion = new Suspicion();

	/** The planned start of a suspected task; {@code null} if there is none. */
	SuspectStarter.PlannedStart plannedStart;

	Task(Job job, StepState step, int index) {
		this.job = job;
		this.step = step;
		this.name = new TaskName(job.id(), step.occurrence, step.number, index);
	}

	StepSpec spec() {
		return this.step.spec;
	}

	/**
	 * Returns the rank of the task among tasks of the same priority: restarts of
	 * long-running tasks come first, their first runs come last.
	 * @return the rank; lower ranks start first
	 */
	int rank() {
		if (!spec().traits().longRunning()) {
			return 1;
		}
		return this.hasRunBefore ? 0 : 2;
	}

	/**
	 * Tells whether the task is long-running and has not run before.
	 * @return {@code true} if its next run is its first
	 */
	boolean isFirstLongRunningStart() {
		return spec().traits().longRunning() && !this.hasRunBefore;
	}

	void addRun(Run run) {
		this.step.tasksWithRuns += this.runs.isEmpty() ? 1 : 0;
		this.runs.add(run);
		this.step.runs++;
	}

	void removeRun(Run run) {
		if (this.runs.remove(run)) {
			this.step.runs--;
			this.step.tasksWithRuns -= this.runs.isEmpty() ? 1 : 0;
		}
	}

	StoredSuspicion storedSuspicion() {
		return this.done ? StoredSuspicion.NONE : this.suspicion.toStore(this.plannedStart);
	}

	boolean unfinished() {
		return !this.done && this.job.active();
	}

	boolean startable() {
		return !this.done && !this.possiblyRunning && this.runs.isEmpty();
	}

}
