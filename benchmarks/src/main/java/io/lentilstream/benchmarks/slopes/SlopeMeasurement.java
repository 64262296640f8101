package io.lentilstream.benchmarks.slopes;

import java.util.List;

/**
 * Measures the growth of the costs of one part.
 */
@FunctionalInterface
public interface SlopeMeasurement {

	/**
	 * Runs the measurement on the calling thread.
	 * @return the slopes
	 * @throws Exception if the part cannot be run, for example because no port is free
	 */
	List<Slope> measure() throws Exception;

}
