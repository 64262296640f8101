package io.lentilstream.benchmarks.tasks.baselines;

import java.util.List;

/**
 * Decides where tasks run.
 */
interface Policy {

	/**
	 * Takes a job.
	 * @param job the job
	 * @param tasks its tasks in the order of their indexes
	 */
	void submit(SimulatedJob job, List<SimulatedTask> tasks);

	/**
	 * Adds what the policy has counted.
	 * @param results the results
	 */
	void complete(Results results);

}
