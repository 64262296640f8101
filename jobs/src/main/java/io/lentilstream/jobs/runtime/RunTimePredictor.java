package io.lentilstream.jobs.runtime;

import io.lentilstream.jobs.StepSpec;

/**
 * A source of predicted run times.
 */
@FunctionalInterface
public interface RunTimePredictor {

	/** The assumed run time of a task without an estimate, in milliseconds. */
	long DEFAULT_ESTIMATE_MILLIS = 1000;

	/**
	 * Predicts the run time of a task.
	 * @param queue the queue of its job
	 * @param step the step of the task
	 * @return the prediction
	 */
	RunTimePrediction predict(String queue, StepSpec step);

	/**
	 * Predicts the length of a step without waits, which ends with its slowest task.
	 * @param queue the queue of its job
	 * @param step the step
	 * @return the time in milliseconds
	 */
	default long predictStepMillis(String queue, StepSpec step) {
		return predict(queue, step).medianMillis();
	}

	/**
	 * Returns a predictor that trusts the estimates of callers.
	 * @return the predictor
	 */
	static RunTimePredictor callersEstimates() {
		return (queue, step) -> {
			long estimate = (step.estimateMillis() > 0) ? step.estimateMillis() : DEFAULT_ESTIMATE_MILLIS;
			return new RunTimePrediction(estimate, estimate, 0);
		};
	}

}
