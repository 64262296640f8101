package io.lentilstream.jobs;

import java.util.List;

/**
 * A snapshot of the learned interference between images, which a scheduler hands over to
 * its successor.
 *
 * @param bases the latency of each serving image without best-effort tasks
 * @param pairs the known pairs of serving and best-effort images
 */
public record InterferenceSnapshot(List<Base> bases, List<Pair> pairs) {

	/**
	 * Creates a snapshot without bases, as earlier versions store it.
	 * @param pairs the known pairs of serving and best-effort images
	 */
	public InterferenceSnapshot(List<Pair> pairs) {
		this(List.of(), pairs);
	}

	/**
	 * The latency of a serving image without best-effort tasks.
	 *
	 * @param servingImage the image of serving tasks
	 * @param logRatio the natural logarithm of the ratio of the tail latency to its
	 * target
	 */
	public record Base(String servingImage, double logRatio) {
	}

	/**
	 * The interference between a pair of images.
	 *
	 * @param servingImage the image of serving tasks
	 * @param bestEffortImage the image of best-effort tasks
	 * @param sensitivity increase of the natural logarithm of the serving task's tail
	 * latency per whole VM of processor time that the best-effort tasks use
	 * @param weight the weight of the observations of the pair; 0 if it is unknown
	 */
	public record Pair(String servingImage, String bestEffortImage, double sensitivity, double weight) {

		/**
		 * Creates a pair whose weight is unknown, as earlier versions store it.
		 * @param servingImage the image of serving tasks
		 * @param bestEffortImage the image of best-effort tasks
		 * @param sensitivity the sensitivity
		 */
		public Pair(String servingImage, String bestEffortImage, double sensitivity) {
			this(servingImage, bestEffortImage, sensitivity, 0);
		}

	}

}
