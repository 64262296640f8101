package io.lentilstream.requests;

/**
 * Run time statistics of the requests of one service, urgency and declared run time. The
 * configured expected time is used only until the first answer.
 */
final class RunTimeGroup {

	/**
	 * Weight of one observation in the moving average over about the last 50 answers.
	 */
	private static final double MEAN_WEIGHT = 0.02;

	/**
	 * Step of the quantile estimates, in the logarithm of the run time. After all run
	 * times change by a factor of 5, the median follows within about 64 answers.
	 */
	private static final double QUANTILE_STEP = 0.05;

	private static final double HIGH_QUANTILE = 0.95;

	private static final double MEDIAN = 0.5;

	private long observations;

	private double meanNanos;

	private double logMedian;

	private double logHighQuantile;

	private int inFlight;

	private int stragglers;

	RunTimeGroup(long expectedNanos) {
		this.meanNanos = expectedNanos;
		this.logMedian = Math.log(expectedNanos);
		this.logHighQuantile = this.logMedian + Math.log(2);
	}

	void observe(long nanos) {
		double value = Math.max(1, nanos);
		double log = Math.log(value);
		if (this.observations++ == 0) {
			this.meanNanos = value;
			this.logMedian = log;
			this.logHighQuantile = log + Math.log(2);
			return;
		}
		double weight = Math.max(MEAN_WEIGHT, 1.0 / this.observations);
		this.meanNanos += weight * (value - this.meanNanos);
		this.logMedian = updateQuantile(this.logMedian, log, MEDIAN);
		this.logHighQuantile = Math.max(this.logMedian, updateQuantile(this.logHighQuantile, log, HIGH_QUANTILE));
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
	 * Returns the 95th percentile of the run time.
	 * @return the run time, in nanoseconds
	 */
	long highQuantileNanos() {
		return (long) Math.exp(this.logHighQuantile);
	}

	/**
	 * Compares a run time to the median.
	 * @param nanos the run time, in nanoseconds
	 * @return the natural logarithm of the ratio; 0 if the run time equals the median
	 */
	double logRatio(long nanos) {
		return Math.log(Math.max(1, nanos)) - this.logMedian;
	}

	void started() {
		this.inFlight++;
	}

	void ended(boolean wasStraggler) {
		this.inFlight--;
		if (wasStraggler) {
			this.stragglers--;
		}
	}

	void becameStraggler() {
		this.stragglers++;
	}

	int inFlight() {
		return this.inFlight;
	}

	int stragglers() {
		return this.stragglers;
	}

	private static double updateQuantile(double quantile, double log, double target) {
		return (log < quantile) ? quantile - QUANTILE_STEP * (1 - target) : quantile + QUANTILE_STEP * target;
	}

}
