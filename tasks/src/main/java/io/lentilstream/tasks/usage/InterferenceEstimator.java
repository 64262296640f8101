package io.lentilstream.tasks.usage;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import io.lentilstream.model.MonotonicTime;

/**
 * Learns which classes of tasks slow each other down on a shared VM. Each pair has the
 * moving average of the extra run time of the first class next to the second; it counts
 * half after the half-life without new reports.
 */
public final class InterferenceEstimator {

	private static final double WEIGHT_OF_NEW_REPORT = 0.2;

	/** Extra run time below this is noise of the measurement. */
	private static final double NOISE = 0.05;

	private final Map<Long, Score> scores = new HashMap<>();

	private final double halfLifeNanos;

	private final int maxPairs;

	/**
	 * Creates an estimator without observations.
	 * @param halfLife the time after which an observation counts half
	 * @param maxPairs the largest number of pairs; further pairs are not learned
	 */
	public InterferenceEstimator(Duration halfLife, int maxPairs) {
		this.halfLifeNanos = halfLife.toNanos();
		this.maxPairs = maxPairs;
	}

	/**
	 * Takes the slowdown of a task next to another class.
	 * @param victim the class of the reporting task
	 * @param other a class on the same VM
	 * @param slowdown the run time relative to an undisturbed run; passed over if it is
	 * not finite
	 * @param now the current time
	 */
	public void observe(int victim, int other, double slowdown, MonotonicTime now) {
		if (!Double.isFinite(slowdown)) {
			// One such value would stay in the moving average for good.
			return;
		}
		double extra = Math.max(0, slowdown - 1);
		long key = key(victim, other);
		Score score = this.scores.get(key);
		if (score == null) {
			if (extra <= NOISE) {
				return;
			}
			if (this.scores.size() >= this.maxPairs) {
				removeDecayed(now);
			}
			if (this.scores.size() >= this.maxPairs) {
				return;
			}
			score = new Score(now);
			this.scores.put(key, score);
		}
		double value = decayed(score, now);
		score.value = value + WEIGHT_OF_NEW_REPORT * (extra - value);
		score.time = now;
	}

	/**
	 * Returns the extra run time that two classes cause each other.
	 * @param first a class
	 * @param second another class
	 * @param now the current time
	 * @return the sum of both directions; 0 if nothing is known
	 */
	public double mutualSlowdown(int first, int second, MonotonicTime now) {
		if (this.scores.isEmpty()) {
			return 0;
		}
		return decayed(this.scores.get(key(first, second)), now) + decayed(this.scores.get(key(second, first)), now);
	}

	/**
	 * Returns the number of known pairs.
	 * @return the number of pairs
	 */
	public int size() {
		return this.scores.size();
	}

	private void removeDecayed(MonotonicTime now) {
		this.scores.values().removeIf((score) -> decayed(score, now) <= NOISE);
	}

	private double decayed(Score score, MonotonicTime now) {
		if (score == null) {
			return 0;
		}
		double age = now.nanos() - score.time.nanos();
		return (age <= 0) ? score.value : score.value * Math.pow(0.5, age / this.halfLifeNanos);
	}

	private static long key(int first, int second) {
		return ((long) first << 32) | (second & 0xffffffffL);
	}

	private static final class Score {

		private double value;

		private MonotonicTime time;

		private Score(MonotonicTime time) {
			this.time = time;
		}

	}

}
