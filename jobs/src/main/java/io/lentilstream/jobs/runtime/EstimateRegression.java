package io.lentilstream.jobs.runtime;

/**
 * A regression of the logarithm of run times on the logarithm of the caller's estimates.
 * It starts as the prior prediction and departs from it with evidence: the slope falls to
 * 0 where estimates say nothing about run times. Older observations decay.
 */
final class EstimateRegression {

	/** The number of moments in a snapshot. */
	static final int MOMENTS = 5;

	/** The factor by which each observation reduces the weight of the previous ones. */
	private static final double RETENTION = 0.99;

	/** The weight of the prior prediction, in observations. */
	private static final double PRIOR_WEIGHT = 3;

	/** The weight of the prior slope, in squared differences of logarithms. */
	private static final double PRIOR_SLOPE_WEIGHT = 1;

	private double weight;

	private double meanEstimate;

	private double meanActual;

	private double estimateSquares;

	private double products;

	void observe(double estimate, double actual) {
		this.weight *= RETENTION;
		this.estimateSquares *= RETENTION;
		this.products *= RETENTION;
		this.weight++;
		double difference = estimate - this.meanEstimate;
		this.meanEstimate += difference / this.weight;
		this.estimateSquares += difference * (estimate - this.meanEstimate);
		this.products += (estimate - this.meanEstimate) * (actual - this.meanActual);
		this.meanActual += (actual - this.meanActual) / this.weight;
	}

	/**
	 * Returns the weight of the observations.
	 * @return the weight, in observations
	 */
	double weight() {
		return this.weight;
	}

	/**
	 * Returns the slope.
	 * @param prior the slope without observations
	 * @return the slope, from 0 to 1
	 */
	double slope(double prior) {
		double slope = (this.products + PRIOR_SLOPE_WEIGHT * prior) / (this.estimateSquares + PRIOR_SLOPE_WEIGHT);
		return Math.max(0, Math.min(1, slope));
	}

	/**
	 * Predicts the logarithm of a run time.
	 * @param estimate the logarithm of the estimate
	 * @param prior the prediction without observations
	 * @param priorSlope the slope without observations
	 * @return the logarithm of the predicted run time
	 */
	double predict(double estimate, double prior, double priorSlope) {
		double learned = this.meanActual + slope(priorSlope) * (estimate - this.meanEstimate);
		return (this.weight * learned + PRIOR_WEIGHT * prior) / (this.weight + PRIOR_WEIGHT);
	}

	void discount(double factor) {
		this.weight *= factor;
		this.estimateSquares *= factor;
		this.products *= factor;
	}

	double[] moments() {
		return new double[] { this.weight, this.meanEstimate, this.meanActual, this.estimateSquares, this.products };
	}

	static EstimateRegression of(double[] moments) {
		EstimateRegression regression = new EstimateRegression();
		regression.weight = moments[0];
		regression.meanEstimate = moments[1];
		regression.meanActual = moments[2];
		regression.estimateSquares = moments[3];
		regression.products = moments[4];
		return regression;
	}

}
