package io.lentilstream.jobs;

import io.lentilstream.model.JobId;

/**
 * The unique name of a task.
 *
 * @param job the job
 * @param occurrence the number of the occurrence, from 0
 * @param step the number of the step, from 0
 * @param index the number of the task in its step, from 0
 */
public record TaskName(JobId job, int occurrence, int step, int index) {

	@Override
	public String toString() {
		return this.job + "." + this.occurrence + "." + this.step + "." + this.index;
	}

}
