package io.lentilstream.jobs.locality;

/**
 * What is known about a task that has no room at its place, while there is room
 * elsewhere.
 *
 * @param now the current time in milliseconds
 * @param workMillis the expected run time at the place of what is left of the task, in
 * milliseconds
 * @param highWorkMillis a run time that is rarely exceeded, in milliseconds
 * @param remoteFactor the factor by which the task takes longer elsewhere
 * @param latestStart the latest start at the place with which the job meets its
 * objective, in milliseconds; {@link Long#MAX_VALUE} if it cannot be met any more
 * @param contended whether other tasks wait for capacity elsewhere
 */
public record PlaceQuestion(long now, long workMillis, long highWorkMillis, double remoteFactor, long latestStart,
		boolean contended) {

	/** The latest start of tasks whose job can no longer be of use in time. */
	public static final long TOO_LATE = Long.MAX_VALUE;

	/**
	 * The least factor by which a task may take longer than expected, since estimates
	 * without observations come without a spread.
	 */
	private static final double MIN_HIGH_FACTOR = 1.2;

	/**
	 * Returns how much longer the task takes elsewhere.
	 * @return the time in milliseconds
	 */
	public long extraMillis() {
		return (long) ((this.remoteFactor - 1) * this.workMillis);
	}

	/**
	 * Tells whether a start at the place meets the objective of the job.
	 * @param start the start, in milliseconds
	 * @return {@code true} if it does
	 */
	boolean inTime(long start) {
		return this.latestStart != TOO_LATE && start <= this.latestStart;
	}

	/**
	 * Returns the latest start elsewhere with which the objective is met even if the task
	 * takes long.
	 * @return the start, in milliseconds
	 */
	long lastResort() {
		double high = Math.max(MIN_HIGH_FACTOR * this.workMillis, this.highWorkMillis);
		return this.latestStart + this.workMillis - (long) (this.remoteFactor * high);
	}

	/**
	 * Tells whether a start elsewhere meets the objective even if the task takes long.
	 * @param start the start, in milliseconds
	 * @return {@code true} if it does
	 */
	boolean certainlyInTimeElsewhere(long start) {
		return this.latestStart != TOO_LATE && start <= lastResort();
	}

}
