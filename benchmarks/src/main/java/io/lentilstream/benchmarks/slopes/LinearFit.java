package io.lentilstream.benchmarks.slopes;

import java.util.List;

/**
 * Is the line through measured points with the least squared error.
 *
 * @param slope the growth of the value per unit of size
 * @param intercept the value at size 0
 */
public record LinearFit(double slope, double intercept) {

	/**
	 * Fits a line.
	 * @param points the points, with at least two distinct sizes
	 * @return the line
	 */
	public static LinearFit of(List<SlopePoint> points) {
		double meanSize = points.stream().mapToDouble(SlopePoint::size).average().orElse(0);
		double meanValue = points.stream().mapToDouble(SlopePoint::value).average().orElse(0);
		double covariance = 0;
		double variance = 0;
		for (SlopePoint point : points) {
			double distance = point.size() - meanSize;
			covariance += distance * (point.value() - meanValue);
			variance += distance * distance;
		}
		if (variance == 0) {
			throw new IllegalArgumentException("a line needs two distinct sizes");
		}
		double slope = covariance / variance;
		return new LinearFit(slope, meanValue - slope * meanSize);
	}

}
