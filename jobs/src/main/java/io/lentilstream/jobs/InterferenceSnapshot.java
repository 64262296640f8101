package io.lentilstream.jobs;

import java.util.List;

/**
 * What was learnt about images that disturb each other, to be handed to a successor.
 *
 * @param pairs the pairs of images that were seen together
 */
public record InterferenceSnapshot(List<Pair> pairs) {

	/**
	 * Nothing is known.
	 */
	public static final InterferenceSnapshot NONE = new InterferenceSnapshot(List.of());

	/**
	 * A pair of images.
	 *
	 * @param servingImage the image of serving tasks
	 * @param bestEffortImage the image of filling tasks
	 * @param sensitivity growth of the logarithm of the serving task's tail for each
	 * whole VM that the filling tasks use
	 */
	public record Pair(String servingImage, String bestEffortImage, double sensitivity) {
	}

}
