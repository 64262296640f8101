package io.lentilstream.benchmarks.slopes;

import java.util.List;

/**
 * Is the measured growth of one cost.
 *
 * @param name the name under which the capacity page refers to it
 * @param unit the unit of the values
 * @param sizeName what the sizes count
 * @param points the measured values
 * @param fit the fitted line
 */
public record Slope(String name, String unit, String sizeName, List<SlopePoint> points, LinearFit fit) {

	/**
	 * Creates a slope and fits its line.
	 * @param name the name
	 * @param unit the unit of the values
	 * @param sizeName what the sizes count
	 * @param points the measured values
	 * @return the slope
	 */
	public static Slope of(String name, String unit, String sizeName, List<SlopePoint> points) {
		return new Slope(name, unit, sizeName, List.copyOf(points), LinearFit.of(points));
	}

}
