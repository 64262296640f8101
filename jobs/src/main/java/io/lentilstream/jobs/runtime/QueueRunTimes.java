package io.lentilstream.jobs.runtime;

import java.util.LinkedHashMap;
import java.util.Map;

import io.lentilstream.jobs.StepSpec;

/**
 * The learned run times of a queue: a regression over all its steps, which is the prior
 * of a regression for each kind of step.
 */
final class QueueRunTimes {

	/** The largest number of kinds; the least recently used one is dropped. */
	static final int MAX_KINDS = 64;

	/** The number of scalars in a snapshot. */
	static final int SCALARS = 5;

	/** The number of steps before the callers of a queue are judged. */
	private static final double MIN_STEPS = 5;

	/**
	 * The mean absolute difference of logarithms from which estimates count as wrong: a
	 * factor of 1.4, most of the slack of a stretch of 1.5.
	 */
	private static final double WRONG_ERROR = 0.35;

	/** The same difference below which estimates count as right again. */
	private static final double RIGHT_ERROR = 0.25;

	/** The smallest weight of a new observation in the running means. */
	private static final double RATE = 0.03;

	/** The largest difference of logarithms from the prediction that counts. */
	private static final double MAX_DIFFERENCE = 2;

	/** The ratio of standard deviation to mean absolute deviation. */
	private static final double DEVIATION_RATIO = 1.2533;

	/** The distance of the 0.95 quantile from the median, in standard deviations. */
	private static final double HIGH_QUANTILE = 1.645;

	private final EstimateRegression all;

	private final Map<String, EstimateRegression> kinds = new LinkedHashMap<>(16, 0.75F, true);

	/** The mean absolute difference of callers' estimates, as logarithms. */
	private double callersError;

	/** The mean absolute difference of predictions, as logarithms. */
	private double predictionError;

	/** The mean spread of the tasks of a step by their quartiles, as logarithms. */
	private double spread;

	/** The mean spread of the tasks of a step by the longest, as logarithms. */
	private double tail;

	private boolean estimatesWrong;

	QueueRunTimes() {
		this(new EstimateRegression(), new double[SCALARS]);
	}

	QueueRunTimes(EstimateRegression all, double[] scalars) {
		this.all = all;
		this.callersError = scalars[0];
		this.predictionError = scalars[1];
		this.spread = scalars[2];
		this.tail = scalars[3];
		this.estimatesWrong = scalars[4] > 0;
	}

	void observe(StepSpec step, StepLength length) {
		double estimate = logEstimate(step);
		double predicted = logPrediction(step);
		double actual = Math.log(Math.max(1, length.medianMillis()));
		actual = Math.max(predicted - MAX_DIFFERENCE, Math.min(predicted + MAX_DIFFERENCE, actual));
		double rate = Math.max(RATE, 1 / (this.all.weight() + 1));
		this.callersError += rate * (Math.abs(actual - estimate) - this.callersError);
		this.predictionError += rate * (Math.abs(actual - predicted) - this.predictionError);
		if (length.spread() > 0) {
			this.spread += rate * (length.spread() - this.spread);
			this.tail += rate * (length.tail() - this.tail);
		}
		this.all.observe(estimate, actual);
		this.kinds.computeIfAbsent(kind(step), (key) -> new EstimateRegression()).observe(estimate, actual);
		dropEldestKind();
		if (this.all.weight() >= MIN_STEPS) {
			this.estimatesWrong = this.callersError > (this.estimatesWrong ? RIGHT_ERROR : WRONG_ERROR);
		}
	}

	private void dropEldestKind() {
		if (this.kinds.size() > MAX_KINDS) {
			this.kinds.remove(this.kinds.keySet().iterator().next());
		}
	}

	/**
	 * Tells whether predictions replace the estimates of the callers.
	 * @return {@code false} while the estimates are right
	 */
	boolean estimatesWrong() {
		return this.estimatesWrong;
	}

	double callersError() {
		return this.callersError;
	}

	RunTimePrediction predict(StepSpec step) {
		double median = logPrediction(step);
		double deviation = Math.hypot(DEVIATION_RATIO * this.predictionError, this.spread);
		EstimateRegression kind = this.kinds.get(kind(step));
		return new RunTimePrediction(millis(median), millis(median + HIGH_QUANTILE * deviation),
				Math.max(this.all.weight(), (kind != null) ? kind.weight() : 0));
	}

	/**
	 * Predicts the length of a step, which is the expected maximum of its tasks.
	 * @param step the step
	 * @return the time in milliseconds
	 */
	long stepMillis(StepSpec step) {
		return millis(
				logPrediction(step) + Math.min(this.spread, this.tail) * StepLength.expectedMaximum(step.count()));
	}

	private double logPrediction(StepSpec step) {
		double estimate = logEstimate(step);
		double byQueue = this.all.predict(estimate, estimate, 1);
		EstimateRegression kind = this.kinds.get(kind(step));
		return (kind != null) ? kind.predict(estimate, byQueue, this.all.slope(1)) : byQueue;
	}

	private static double logEstimate(StepSpec step) {
		return Math.log((step.estimateMillis() > 0) ? step.estimateMillis() : RunTimePredictor.DEFAULT_ESTIMATE_MILLIS);
	}

	private static long millis(double logarithm) {
		return Math.max(1, Math.round(Math.exp(logarithm)));
	}

	// Steps of the same image and a similar size behave alike. The estimate is an input
	// of the regression rather than a part of the kind.
	private static String kind(StepSpec step) {
		return step.image() + '/' + (Long.SIZE - Long.numberOfLeadingZeros(step.size().milliCores()));
	}

	void discount(double factor) {
		this.all.discount(factor);
		this.kinds.values().forEach((kind) -> kind.discount(factor));
	}

	EstimateRegression all() {
		return this.all;
	}

	Map<String, EstimateRegression> kinds() {
		return this.kinds;
	}

	double[] scalars() {
		return new double[] { this.callersError, this.predictionError, this.spread, this.tail,
				this.estimatesWrong ? 1 : 0 };
	}

}
