package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.jobs.InterferenceSnapshot;

/**
 * An online model of how much best-effort tasks of each image increase the tail latency
 * of serving tasks of each image. The natural logarithm of a tail latency is modelled as
 * a base of the serving image plus, for each best-effort image, its share of the VM times
 * the sensitivity of the pair. Load pattern: the pairs of images that interfere differ
 * from day to day; most pairs do not interfere.
 */
final class InterferenceModel {

	/** The prior sensitivity of a pair without observations. */
	private static final double PRIOR_SENSITIVITY = 1;

	/** The weight of the prior relative to the sum of squared shares. */
	private static final double PRIOR_WEIGHT = 0.3;

	/** The factor by which each observation reduces the weight of the previous ones. */
	private static final double RETENTION = 0.9995;

	/** The learning rate of the base. */
	private static final double BASE_RATE = 0.02;

	/** The bound to which the difference of an observation from the base is clamped. */
	private static final double MAX_DIFFERENCE = 1.5;

	/**
	 * The base before any observation: the natural logarithm of the ratio of the tail
	 * latency to the target.
	 */
	private static final double INITIAL_BASE = Math.log(0.4);

	/**
	 * The ratio of the tail latency to the target to which smaller ratios are raised.
	 */
	private static final double MIN_RATIO = 0.02;

	/** The largest number of pairs in a snapshot, which bounds its size. */
	private static final int MAX_SNAPSHOT_PAIRS = 1000;

	private final Map<String, Integer> bestEffortImages = new HashMap<>();

	private final Map<String, ServingImageModel> servingImages = new HashMap<>();

	/**
	 * Updates the model with an observation.
	 * @param image the image of the serving task
	 * @param ratio the ratio of the tail latency to the target
	 * @param shares the shares of the VM that best-effort tasks used meanwhile, by image
	 */
	void observe(String image, double ratio, Map<String, Double> shares) {
		ServingImageModel model = modelOf(image);
		for (String bestEffortImage : shares.keySet()) {
			this.bestEffortImages.putIfAbsent(bestEffortImage, this.bestEffortImages.size());
		}
		double[] inputs = new double[this.bestEffortImages.size()];
		double interference = 0;
		for (Map.Entry<String, Double> share : shares.entrySet()) {
			int index = this.bestEffortImages.get(share.getKey());
			inputs[index] = share.getValue();
			interference += sensitivity(image, share.getKey()) * share.getValue();
		}
		double difference = logRatio(ratio) - model.base;
		difference = Math.max(-MAX_DIFFERENCE, Math.min(MAX_DIFFERENCE, difference));
		model.base += BASE_RATE * (difference - interference);
		if (!shares.isEmpty()) {
			model.regression.observe(inputs, difference);
		}
	}

	/**
	 * Returns the increase of the natural logarithm of the tail latency per whole VM that
	 * best-effort tasks use.
	 * @param servingImage the image of the serving task
	 * @param bestEffortImage the image of the best-effort tasks
	 * @return the sensitivity, at least 0
	 */
	double sensitivity(String servingImage, String bestEffortImage) {
		ServingImageModel model = this.servingImages.get(servingImage);
		Integer index = this.bestEffortImages.get(bestEffortImage);
		if (model == null || index == null) {
			return PRIOR_SENSITIVITY;
		}
		return Math.max(0, model.regression.coefficient(index));
	}

	/**
	 * Returns a snapshot of the learned sensitivities.
	 * @return the known serving images and their pairs with best-effort images; at most
	 * {@value #MAX_SNAPSHOT_PAIRS} pairs, those with most observations
	 */
	InterferenceSnapshot snapshot() {
		List<InterferenceSnapshot.Base> bases = new ArrayList<>();
		List<InterferenceSnapshot.Pair> pairs = new ArrayList<>();
		this.servingImages.forEach((servingImage, model) -> {
			bases.add(new InterferenceSnapshot.Base(servingImage, model.base));
			double[] weights = model.regression.weights(this.bestEffortImages.size());
			this.bestEffortImages
				.forEach((bestEffortImage, index) -> pairs.add(new InterferenceSnapshot.Pair(servingImage,
						bestEffortImage, model.regression.coefficient(index), weights[index])));
		});
		pairs.sort(Comparator.comparingDouble((InterferenceSnapshot.Pair pair) -> -pair.weight()));
		return new InterferenceSnapshot(bases, pairs.subList(0, Math.min(MAX_SNAPSHOT_PAIRS, pairs.size())));
	}

	/**
	 * Uses the sensitivities that a predecessor learned as priors, so that a wrong one is
	 * given up after a few observations. The bases and weights of the snapshot are not
	 * used.
	 * @param snapshot the snapshot of the predecessor
	 */
	void restore(InterferenceSnapshot snapshot) {
		for (InterferenceSnapshot.Pair pair : snapshot.pairs()) {
			this.bestEffortImages.putIfAbsent(pair.bestEffortImage(), this.bestEffortImages.size());
			int index = this.bestEffortImages.get(pair.bestEffortImage());
			RidgeRegression regression = modelOf(pair.servingImage()).regression;
			regression.setPrior(index, Math.max(0, pair.sensitivity()));
		}
	}

	private ServingImageModel modelOf(String image) {
		return this.servingImages.computeIfAbsent(image, (key) -> new ServingImageModel());
	}

	static double logRatio(double ratio) {
		return Math.log(Math.max(MIN_RATIO, ratio));
	}

	/**
	 * The model of a serving image.
	 */
	private static final class ServingImageModel {

		private double base = INITIAL_BASE;

		private final RidgeRegression regression = new RidgeRegression(PRIOR_SENSITIVITY, PRIOR_WEIGHT, RETENTION);

	}

}
