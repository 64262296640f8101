package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.jobs.InterferenceSnapshot;

/**
 * Learns how much filling tasks of each image lengthen the tail of serving tasks of each
 * image. The logarithm of a tail is modelled as a base of the serving image plus, for
 * each image of filling tasks, their share of the VM times the sensitivity of the pair.
 * Load pattern: which pairs of images disturb each other is different each day; most
 * pairs do not.
 */
final class InterferenceModel {

	/** Assumed sensitivity of a pair that was not seen yet. */
	private static final double UNSEEN = 1;

	/** Weight of the assumption against the sum of squared shares. */
	private static final double UNSEEN_WEIGHT = 0.3;

	/** Part of the weight of former observations that each new one leaves. */
	private static final double KEEP = 0.9995;

	/** Step of the base toward an observation. */
	private static final double BASE_RATE = 0.02;

	/** Largest difference from the base that one observation counts for. */
	private static final double MAX_DIFFERENCE = 1.5;

	/** Logarithm of the usual tail, as a part of the target, before observations. */
	private static final double INITIAL_BASE = Math.log(0.4);

	/** Smallest tail that is told from nothing, as a part of the target. */
	private static final double SMALLEST_RATIO = 0.02;

	private final Map<String, Integer> fillingImages = new HashMap<>();

	private final Map<String, Serving> servingImages = new HashMap<>();

	/**
	 * Takes in an observation.
	 * @param image the image of the serving task
	 * @param ratio its tail, as a part of its target
	 * @param shares shares of the VM that filling tasks used meanwhile, by image
	 */
	void observe(String image, double ratio, Map<String, Double> shares) {
		Serving serving = this.servingImages.computeIfAbsent(image, (key) -> new Serving());
		for (String filling : shares.keySet()) {
			this.fillingImages.putIfAbsent(filling, this.fillingImages.size());
		}
		double[] inputs = new double[this.fillingImages.size()];
		double disturbance = 0;
		for (Map.Entry<String, Double> share : shares.entrySet()) {
			int index = this.fillingImages.get(share.getKey());
			inputs[index] = share.getValue();
			disturbance += sensitivity(image, share.getKey()) * share.getValue();
		}
		double difference = logarithm(ratio) - serving.base;
		difference = Math.max(-MAX_DIFFERENCE, Math.min(MAX_DIFFERENCE, difference));
		serving.base += BASE_RATE * (difference - disturbance);
		if (!shares.isEmpty()) {
			serving.regression.observe(inputs, difference);
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
		Serving known = this.servingImages.get(serving);
		Integer index = this.fillingImages.get(filling);
		if (known == null || index == null) {
			return UNSEEN;
		}
		return Math.max(0, known.regression.coefficient(index));
	}

	/**
	 * Returns what was learnt.
	 * @return the pairs of images that may have been seen together
	 */
	InterferenceSnapshot known() {
		List<InterferenceSnapshot.Pair> pairs = new ArrayList<>();
		for (String serving : this.servingImages.keySet()) {
			for (String filling : this.fillingImages.keySet()) {
				pairs.add(new InterferenceSnapshot.Pair(serving, filling, sensitivity(serving, filling)));
			}
		}
		return new InterferenceSnapshot(pairs);
	}

	/**
	 * Starts from what a predecessor learnt.
	 * @param known the pairs of images
	 */
	void expect(InterferenceSnapshot known) {
		for (InterferenceSnapshot.Pair pair : known.pairs()) {
			this.fillingImages.putIfAbsent(pair.bestEffortImage(), this.fillingImages.size());
			this.servingImages.computeIfAbsent(pair.servingImage(), (key) -> new Serving()).regression
				.expect(this.fillingImages.get(pair.bestEffortImage()), pair.sensitivity());
		}
	}

	static double logarithm(double ratio) {
		return Math.log(Math.max(SMALLEST_RATIO, ratio));
	}

	/**
	 * What is known of one image of serving tasks.
	 */
	private static final class Serving {

		private double base = INITIAL_BASE;

		private final RidgeRegression regression = new RidgeRegression(UNSEEN, UNSEEN_WEIGHT, KEEP);

	}

}
