package io.lentilstream.jobs.runtime;

import java.util.List;
import java.util.function.IntToLongFunction;

import io.lentilstream.jobs.StepSpec;

/**
 * The longest chain of dependent steps of a job.
 */
public final class CriticalPath {

	private final long[] precedingMillis;

	private final long totalMillis;

	/**
	 * Creates the critical path of a job.
	 * @param steps the steps in order
	 * @param stepMillis the length of a step by its number, in milliseconds
	 */
	public CriticalPath(List<StepSpec> steps, IntToLongFunction stepMillis) {
		this.precedingMillis = new long[steps.size()];
		long[] ends = new long[steps.size()];
		long longest = 0;
		for (int number = 0; number < ends.length; number++) {
			for (int dependency : steps.get(number).dependsOn()) {
				this.precedingMillis[number] = Math.max(this.precedingMillis[number], ends[dependency]);
			}
			ends[number] = this.precedingMillis[number] + stepMillis.applyAsLong(number);
			longest = Math.max(longest, ends[number]);
		}
		this.totalMillis = longest;
	}

	/**
	 * Returns the length of the chain.
	 * @return the time in milliseconds
	 */
	public long totalMillis() {
		return this.totalMillis;
	}

	/**
	 * Returns the length of the longest chain before a step.
	 * @param number the number of the step
	 * @return the time in milliseconds
	 */
	public long precedingMillis(int number) {
		return this.precedingMillis[number];
	}

}
