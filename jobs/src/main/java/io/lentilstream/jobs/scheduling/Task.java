package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerId;

/**
 * A task of an accepted job.
 */
final class Task {

	final Job job;

	final StepState step;

	final TaskName name;

	boolean done;

	/** Numbers of the runs that ended as failed; an end may be reported twice. */
	final Set<Integer> failedRuns = new TreeSet<>();

	int lastRun;

	String checkpoint = "";

	/** The VM where the latest run failed, which the next run avoids. */
	WorkerId failedOn;

	/** Whether a run from before the takeover may be at work somewhere. */
	boolean unsettled;

	/** Earliest time of the next start, in milliseconds. */
	long notBefore;

	/** Key of the waiting order: the time by which the task should start. */
	long dueAt;

	/** When the task has to start for its job to end late rather than far too late. */
	long lateDueAt;

	/** Whether the task has run before, when it last began to wait. */
	boolean restarts;

	final List<Run> runs = new ArrayList<>(1);

	Task(Job job, StepState step, int index) {
		this.job = job;
		this.step = step;
		this.name = new TaskName(job.id(), step.occurrence, step.number, index);
	}

	StepSpec spec() {
		return this.step.spec;
	}

	/**
	 * Ranks the task among those of its priority: long-running tasks that have to be back
	 * come first, those that have not run yet last.
	 * @return the rank, from 0
	 */
	int rank() {
		if (!spec().traits().longRunning()) {
			return 1;
		}
		return this.restarts ? 0 : 2;
	}

	/**
	 * Tells whether the task is long-running and has not run yet.
	 * @return {@code true} if its next run is its first
	 */
	boolean firstLongRun() {
		return spec().traits().longRunning() && !this.restarts;
	}

	boolean waiting() {
		return !this.done && !this.unsettled && this.runs.isEmpty();
	}

}
