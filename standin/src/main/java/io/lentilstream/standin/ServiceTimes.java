package io.lentilstream.standin;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Draws the service times of an endpoint.
 *
 * @param mean the mean without stragglers
 * @param spread how far a time is from the mean at most, as a share of the mean
 * @param stragglerShare the share of stragglers, from 0 to 1
 * @param stragglerFactor how many times longer a straggler runs
 */
public record ServiceTimes(Duration mean, double spread, double stragglerShare, double stragglerFactor) {

	/**
	 * Returns service times that are always the same.
	 * @param time the time
	 * @return the service times
	 */
	public static ServiceTimes constant(Duration time) {
		return new ServiceTimes(time, 0, 0, 1);
	}

	/**
	 * Draws a service time.
	 * @param random the source of randomness
	 * @return the time
	 */
	Duration draw(RandomGenerator random) {
		double factor = 1 + this.spread * (2 * random.nextDouble() - 1);
		if (random.nextDouble() < this.stragglerShare) {
			factor *= this.stragglerFactor;
		}
		return Duration.ofNanos(Math.round(this.mean.toNanos() * factor));
	}

}
