package io.lentilstream.tasks.usage;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.lentilstream.model.MonotonicTime;

/**
 * An estimator of how much classes of tasks slow each other down on a shared VM. Each
 * ordered pair has an exponential moving average of the relative extra run time of the
 * first class when it runs beside the second. The average decays with a half-life if no
 * new reports arrive.
 */
public final class InterferenceEstimator {

	private static final double SMOOTHING_FACTOR = 0.2;

	/** Relative extra run time up to this value is measurement noise. */
	private static final double NOISE_THRESHOLD = 0.05;

	private final Map<Long, MovingAverage> averages = new HashMap<>();

	private final double halfLifeNanos;

	private final int maxPairs;

	/**
	 * Creates an estimator without observations.
	 * @param halfLife the time after which an average has halved without new reports
	 * @param maxPairs the maximum number of pairs; further pairs are ignored
	 */
	public InterferenceEstimator(Duration halfLife, int maxPairs) {
		this.halfLifeNanos = halfLife.toNanos();
		this.maxPairs = maxPairs;
	}

	/**
	 * Records the slowdown of a task that runs beside another class.
	 * @param affected the class of the reporting task
	 * @param other a class on the same VM
	 * @param slowdown the run time relative to a run without interference; ignored if it
	 * is not finite
	 * @param now the current time
	 */
	public void observe(int affected, int other, double slowdown, MonotonicTime now) {
		if (!Double.isFinite(slowdown)) {
			// A single non-finite value would never leave the moving average.
			return;
		}
		double extraRunTime = Math.max(0, slowdown - 1);
		long key = pairKey(affected, other);
		MovingAverage average = this.averages.get(key);
		if (average == null) {
			if (extraRunTime <= NOISE_THRESHOLD) {
				return;
			}
			if (this.averages.size() >= this.maxPairs) {
				removeDecayed(now);
			}
			if (this.averages.size() >= this.maxPairs) {
				return;
			}
			average = new MovingAverage(now);
			this.averages.put(key, average);
		}
		double value = decayed(average, now);
		average.value = value + SMOOTHING_FACTOR * (extraRunTime - value);
		average.updateTime = now;
	}

	/**
	 * Returns the relative extra run time that two classes cause each other.
	 * @param first a class
	 * @param second another class
	 * @param now the current time
	 * @return the sum of both directions; 0 if there are no observations
	 */
	public double mutualSlowdown(int first, int second, MonotonicTime now) {
		if (this.averages.isEmpty()) {
			return 0;
		}
		return decayed(this.averages.get(pairKey(first, second)), now)
				+ decayed(this.averages.get(pairKey(second, first)), now);
	}

	/**
	 * Returns the number of pairs with an average.
	 * @return the number of pairs
	 */
	public int size() {
		return this.averages.size();
	}

	private void removeDecayed(MonotonicTime now) {
		this.averages.values().removeIf((average) -> decayed(average, now) <= NOISE_THRESHOLD);
	}

	private double decayed(MovingAverage average, MonotonicTime now) {
		if (average == null) {
			return 0;
		}
		double age = now.nanos() - average.updateTime.nanos();
		return (age <= 0) ? average.value : average.value * Math.pow(0.5, age / this.halfLifeNanos);
	}

	private static long pairKey(int first, int second) {
		return ((long) first << 32) | (second & 0xffffffffL);
	}

	private static final class MovingAverage {

		private double value;

		private MonotonicTime updateTime;

		private MovingAverage(MonotonicTime updateTime) {
			this.updateTime = updateTime;
		}

	}

}
