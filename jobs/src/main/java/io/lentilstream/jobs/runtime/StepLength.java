package io.lentilstream.jobs.runtime;

import java.util.Arrays;

/**
 * The measured run times of the tasks of a step.
 *
 * @param medianMillis the median, in milliseconds
 * @param longestMillis the longest, in milliseconds
 * @param spread the standard deviation of the natural logarithm of the run times, from
 * their quartiles, so that a few slow VMs do not count; 0 for few tasks
 * @param tail the same from the longest, which is less if the run times are bounded; 0
 * for few tasks
 */
public record StepLength(long medianMillis, long longestMillis, double spread, double tail) {

	/** The smallest number of tasks from which a spread is derived. */
	private static final int MIN_TASKS_FOR_SPREAD = 4;

	/** The distance between the quartiles of a normal distribution of unit spread. */
	private static final double QUARTILE_DISTANCE = 1.349;

	/** The Euler-Mascheroni constant. */
	private static final double EULER_GAMMA = 0.5772;

	/**
	 * Returns the length of a step.
	 * @param millis the run times of its tasks, in milliseconds; not empty
	 * @return the length
	 */
	public static StepLength of(long[] millis) {
		long[] sorted = millis.clone();
		Arrays.sort(sorted);
		int count = sorted.length;
		double spread = 0;
		double tail = 0;
		if (count >= MIN_TASKS_FOR_SPREAD) {
			double upper = Math.log(Math.max(1, sorted[count * 3 / 4]));
			spread = (upper - Math.log(Math.max(1, sorted[(count - 1) / 4]))) / QUARTILE_DISTANCE;
			double longest = Math.log((double) Math.max(1, sorted[count - 1]) / Math.max(1, sorted[count / 2]));
			tail = longest / expectedMaximum(count);
		}
		return new StepLength(sorted[count / 2], sorted[count - 1], spread, tail);
	}

	/**
	 * Returns the approximate expected maximum of normally distributed values.
	 * @param count the number of values
	 * @return the distance from their mean, in standard deviations
	 */
	static double expectedMaximum(int count) {
		if (count < 2) {
			return 0;
		}
		double root = Math.sqrt(2 * Math.log(count));
		return root + (2 * EULER_GAMMA - Math.log(Math.log(count)) - Math.log(4 * Math.PI)) / (2 * root);
	}

}
