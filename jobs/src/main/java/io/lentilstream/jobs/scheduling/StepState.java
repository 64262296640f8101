package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;

import io.lentilstream.jobs.StepSpec;

/**
 * The tasks of one step in one occurrence of a job.
 */
final class StepState {

	final int occurrence;

	final int number;

	final StepSpec spec;

	final List<Task> tasks = new ArrayList<>();

	int done;

	/** Whether all earlier steps are done and the time has come. */
	boolean open;

	StepState(Job job, int occurrence, int number, StepSpec spec) {
		this.occurrence = occurrence;
		this.number = number;
		this.spec = spec;
		for (int index = 0; index < spec.count(); index++) {
			this.tasks.add(new Task(job, this, index));
		}
	}

	boolean complete() {
		return this.done == this.tasks.size();
	}

}
