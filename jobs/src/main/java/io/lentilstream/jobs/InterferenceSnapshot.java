package io.lentilstream.jobs;

import java.util.List;

/**
 * A snapshot of the learned interference between images, which a scheduler hands over to
 * its successor.
 *
 * @param pairs the known pairs of serving and best-effort images
 */
public record InterferenceSnapshot(List<Pair> pairs) {

	/**
	 * A snapshot without pairs.
	 */
	public static final InterferenceSnapshot NONE = new InterferenceSnapshot(List.of());

	/**
	 * The interference between a pair of images.
	 *
	 * @param servingImage the image of serving tasks
	 * @param bestEffortImage the image of best-effort tasks
	 * @param sensitivity increase of the natural logarithm of the serving task's tail
	 * latency per whole VM of processor time that the best-effort tasks use
	 */
	public record Pair(String servingImage, String bestEffortImage, double sensitivity) {
	}

}
