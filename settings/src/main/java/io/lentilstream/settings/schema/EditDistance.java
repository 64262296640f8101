package io.lentilstream.settings.schema;

import java.util.Collection;
import java.util.Optional;

/**
 * Finds the nearest known name for a mistyped one.
 */
final class EditDistance {

	private EditDistance() {
	}

	static Optional<String> nearest(String name, Collection<String> known) {
		String best = null;
		// A name that differs in more than a third of its characters is no likely typo.
		int limit = Math.max(2, name.length() / 3) + 1;
		for (String candidate : known) {
			int distance = between(name, candidate);
			if (distance < limit && !candidate.equals("*")) {
				best = candidate;
				limit = distance;
			}
		}
		return Optional.ofNullable(best);
	}

	static int between(String first, String second) {
		int[] previous = new int[second.length() + 1];
		for (int j = 0; j <= second.length(); j++) {
			previous[j] = j;
		}
		for (int i = 1; i <= first.length(); i++) {
			int[] current = new int[second.length() + 1];
			current[0] = i;
			for (int j = 1; j <= second.length(); j++) {
				int change = (first.charAt(i - 1) != second.charAt(j - 1)) ? 1 : 0;
				current[j] = Math.min(previous[j - 1] + change, 1 + Math.min(previous[j], current[j - 1]));
			}
			previous = current;
		}
		return previous[second.length()];
	}

}
