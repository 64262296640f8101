package io.lentilstream.benchmarks.tasks.baselines;

import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

/**
 * Is a job of equally declared tasks.
 *
 * @param name the key of the job
 * @param arrivalMillis when it is submitted
 * @param program the program
 * @param urgency the urgency
 * @param declared the declared size of each task
 * @param count the number of tasks
 */
record SimulatedJob(String name, long arrivalMillis, SimulatedProgram program, Urgency urgency, Resources declared,
		int count) {

	boolean urgent() {
		return this.urgency == Urgency.URGENT;
	}

}
