package io.lentilstream.settings.schema;

import java.util.Collection;
import java.util.Optional;

/**
 * Suggests a known name for a misspelled one by the Levenshtein distance.
 */
final class EditDistance {

	private EditDistance() {
	}

	static Optional<String> nearest(String name, Collection<String> known) {
		String best = null;
		// A name that differs in over a third of its characters is probably not a typo.
		int limit = Math.max(2, name.length() / 3) + 1;
		for (String candidate : known) {
			int edits = distance(name, candidate);
			if (edits < limit && !candidate.equals("*")) {
				best = candidate;
				limit = edits;
			}
		}
		return Optional.ofNullable(best);
	}

	static int distance(String first, String second) {
		int[] previous = new int[second.length() + 1];
		for (int j = 0; j <= second.length(); j++) {
			previous[j] = j;
		}
		for (int i = 1; i <= first.length(); i++) {
			int[] current = new int[second.length() + 1];
			current[0] = i;
			for (int j = 1; j <= second.length(); j++) {
				int substitution = (first.charAt(i - 1) != second.charAt(j - 1)) ? 1 : 0;
				current[j] = Math.min(previous[j - 1] + substitution, 1 + Math.min(previous[j], current[j - 1]));
			}
			previous = current;
		}
		return previous[second.length()];
	}

}
