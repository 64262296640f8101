package io.lentilstream.benchmarks.tasks.baselines;

import io.lentilstream.model.Resources;

/**
 * Is what a task really needs, which no policy is told.
 *
 * @param job the job
 * @param index the index within the job
 * @param real the use of an undisturbed run after the memory has grown
 * @param runSeconds the time of an undisturbed run
 * @param usefulSeconds the part of the run time that counts as useful; less than the run
 * time for stragglers
 */
record SimulatedTask(SimulatedJob job, int index, Resources real, double runSeconds, double usefulSeconds) {

	double usefulCoreSeconds() {
		return this.real.milliCores() / 1000.0 * this.usefulSeconds;
	}

	boolean urgent() {
		return this.job.urgent();
	}

	// Jobs have unique names, so the values need not be compared.
	@Override
	public boolean equals(Object other) {
		return this == other;
	}

	@Override
	public int hashCode() {
		return System.identityHashCode(this);
	}

	@Override
	public String toString() {
		return this.job.name() + "." + this.index;
	}

}
