package io.lentilstream.jobs.runtime;

/**
 * The predicted run time of a task at full speed near its data.
 *
 * @param medianMillis the median, in milliseconds
 * @param highMillis the 0.95 quantile, in milliseconds; at least the median
 * @param samples the weight of the observations behind the prediction; 0 if it is the
 * estimate of the caller
 */
public record RunTimePrediction(long medianMillis, long highMillis, double samples) {
}
