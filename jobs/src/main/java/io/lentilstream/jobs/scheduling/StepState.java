package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.jobs.StepSpec;

/**
 * The state of a step within an occurrence of a job.
 */
final class StepState {

	final int occurrence;

	final int number;

	final StepSpec spec;

	final List<Task> tasks = new ArrayList<>();

	int done;

	/** The number of runs of the tasks. */
	int runs;

	/**
	 * Whether the tasks may start: the occurrence is due and all dependencies are done.
	 */
	boolean released;

	StepState(Job job, int occurrence, int number, StepSpec spec) {
		this.occurrence = occurrence;
		this.number = number;
		this.spec = spec;
		for (int index = 0; index < spec.count(); index++) {
			this.tasks.add(new Task(job, this, index));
		}
	}

	/** The measured run times of tasks, in milliseconds at full speed near their data. */
	private final List<Long> runMillis = new ArrayList<>();

	/**
	 * Whether no predecessor can have started tasks of the steps that depend on this one.
	 */
	boolean dependentsRuledOut;

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
		int needed = this.spec.traits().gang() ? 1 : this.tasks.size();
		return (this.runMillis.size() < needed) ? 0
				: this.runMillis.stream().mapToLong(Long::longValue).max().orElse(0);
	}

	boolean complete() {
		return this.done == this.tasks.size();
	}

}
