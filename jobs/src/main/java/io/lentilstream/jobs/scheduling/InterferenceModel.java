package io.lentilstream.jobs.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much filling tasks of each image lengthen the tail of serving tasks of each
 * image. The logarithm of a tail is modelled as a base of the serving image plus, for
 * each filling task, its share of the VM times the sensitivity of the pair of images.
 * Load pattern: which pairs of images disturb each other is different each day and
 * changes with load.
 */
final class InterferenceModel {

	/** Assumed sensitivity of a pair that was not seen yet. */
	private static final double UNSEEN = 2.5;

	private static final double MAX_SENSITIVITY = 60;

	/** Step of the base toward an observation. */
	private static final double BASE_RATE = 0.04;

	/** Step of the sensitivities toward an observation. */
	private static final double SENSITIVITY_RATE = 0.15;

	/** Keeps small shares from being blamed for large errors. */
	private static final double SHARE_FLOOR = 0.02;

	/** Largest error that one observation counts for. */
	private static final double MAX_ERROR = 1.5;

	/** Logarithm of the usual tail, as a part of the target, before observations. */
	private static final double INITIAL_BASE = Math.log(0.4);

	/** Smallest tail that is told from nothing, as a part of the target. */
	private static final double SMALLEST_RATIO = 0.02;

	private final Map<String, Double> bases = new HashMap<>();

	private final Map<Pair, Double> sensitivities = new HashMap<>();

	/**
	 * Takes in an observation.
	 * @param serving the image of the serving task
	 * @param ratio its tail, as a part of its target
	 * @param shares shares of the VM that filling tasks used meanwhile, by image
	 */
	void observe(String serving, double ratio, Map<String, Double> shares) {
		double base = this.bases.getOrDefault(serving, INITIAL_BASE);
		double expected = base;
		double squares = 0;
		for (Map.Entry<String, Double> share : shares.entrySet()) {
			expected += sensitivity(serving, share.getKey()) * share.getValue();
			squares += share.getValue() * share.getValue();
		}
		double error = logarithm(ratio) - expected;
		error = Math.max(-MAX_ERROR, Math.min(MAX_ERROR, error));
		this.bases.put(serving, base + BASE_RATE * error);
		for (Map.Entry<String, Double> share : shares.entrySet()) {
			double step = SENSITIVITY_RATE * error * share.getValue() / (SHARE_FLOOR + squares);
			double next = sensitivity(serving, share.getKey()) + step;
			this.sensitivities.put(new Pair(serving, share.getKey()), Math.max(0, Math.min(MAX_SENSITIVITY, next)));
		}
	}

	/**
	 * Returns how much the logarithm of the tail grows for each whole VM that filling
	 * tasks use.
	 * @param serving the image of the serving task
	 * @param filling the image of the filling tasks
	 * @return the growth, at least 0
	 */
	double sensitivity(String serving, String filling) {
		return this.sensitivities.getOrDefault(new Pair(serving, filling), UNSEEN);
	}

	static double logarithm(double ratio) {
		return Math.log(Math.max(SMALLEST_RATIO, ratio));
	}

	/**
	 * Identifies a pair of images.
	 *
	 * @param serving the image of serving tasks
	 * @param filling the image of filling tasks
	 */
	private record Pair(String serving, String filling) {
	}

}
