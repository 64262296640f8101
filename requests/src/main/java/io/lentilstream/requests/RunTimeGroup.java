package io.lentilstream.requests;

/**
 * Learns the run time of requests of one urgency and declared size from their answers.
 * The declared or configured time only counts until the first answer.
 */
final class RunTimeGroup {

	/** Weight of one observation in the mean; about the last 50 answers count. */
	private static final double MEAN_WEIGHT = 0.02;

	/**
	 * Step of the quantiles in the logarithm of the time: a change of all times by 5x
	 * moves the median within about 64 answers.
	 */
	private static final double QUANTILE_STEP = 0.05;

	private static final double HIGH_QUANTILE = 0.95;

	private static final double MEDIAN = 0.5;

	private long observations;

	private double meanNanos;

	private double logMedian;

	private double logHigh;

	private int inFlight;

	private int overdue;

	RunTimeGroup(long expectedNanos) {
		this.meanNanos = expectedNanos;
		this.logMedian = Math.log(expectedNanos);
		this.logHigh = this.logMedian + Math.log(2);
	}

	void observe(long nanos) {
		double value = Math.max(1, nanos);
		double log = Math.log(value);
		if (this.observations++ == 0) {
			this.meanNanos = value;
			this.logMedian = log;
			this.logHigh = log + Math.log(2);
			return;
		}
		double weight = Math.max(MEAN_WEIGHT, 1.0 / this.observations);
		this.meanNanos += weight * (value - this.meanNanos);
		this.logMedian = moved(this.logMedian, log, MEDIAN);
		this.logHigh = Math.max(this.logMedian, moved(this.logHigh, log, HIGH_QUANTILE));
	}

	boolean observed() {
		return this.observations > 0;
	}

	double meanNanos() {
		return this.meanNanos;
	}

	long medianNanos() {
		return (long) Math.exp(this.logMedian);
	}

	/**
	 * Returns the time that 95% of the requests stay under.
	 * @return nanoseconds
	 */
	long highNanos() {
		return (long) Math.exp(this.logHigh);
	}

	/**
	 * Compares a time to the median.
	 * @param nanos the time
	 * @return the logarithm of the ratio; 0 for a time like the median
	 */
	double logRatio(long nanos) {
		return Math.log(Math.max(1, nanos)) - this.logMedian;
	}

	void started() {
		this.inFlight++;
	}

	void ended(boolean wasOverdue) {
		this.inFlight--;
		if (wasOverdue) {
			this.overdue--;
		}
	}

	void becameOverdue() {
		this.overdue++;
	}

	int inFlight() {
		return this.inFlight;
	}

	int overdue() {
		return this.overdue;
	}

	private static double moved(double quantile, double log, double target) {
		return (log < quantile) ? quantile - QUANTILE_STEP * (1 - target) : quantile + QUANTILE_STEP * target;
	}

}
