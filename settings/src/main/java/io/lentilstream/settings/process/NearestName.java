package io.lentilstream.settings.process;

import java.util.Collection;

/**
 * Finds the known name with the smallest Levenshtein distance to an unknown one.
 */
final class NearestName {

	private NearestName() {
	}

	/**
	 * Returns the known name that is most similar to an unknown one.
	 * @param unknown the unknown name
	 * @param known the known names, at least one
	 * @return the nearest name; the first one if several are equally near
	 */
	static String of(String unknown, Collection<String> known) {
		String nearest = "";
		int smallest = Integer.MAX_VALUE;
		for (String candidate : known) {
			int distance = distance(unknown, candidate);
			if (distance < smallest) {
				smallest = distance;
				nearest = candidate;
			}
		}
		return nearest;
	}

	private static int distance(String left, String right) {
		int[] previous = new int[right.length() + 1];
		for (int j = 0; j <= right.length(); j++) {
			previous[j] = j;
		}
		for (int i = 1; i <= left.length(); i++) {
			int[] current = new int[right.length() + 1];
			current[0] = i;
			for (int j = 1; j <= right.length(); j++) {
				int substitution = previous[j - 1] + ((left.charAt(i - 1) == right.charAt(j - 1)) ? 0 : 1);
				current[j] = Math.min(substitution, 1 + Math.min(previous[j], current[j - 1]));
			}
			previous = current;
		}
		return previous[right.length()];
	}

}
