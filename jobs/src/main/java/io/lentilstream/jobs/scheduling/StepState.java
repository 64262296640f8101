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

	/**
	 * Whether no predecessor can have started tasks of the steps that depend on this one.
	 */
	boolean dependentsRuledOut;

	boolean complete() {
		return this.done == this.tasks.size();
	}

}
