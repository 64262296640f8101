package io.lentilstream.administration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The difference of one setting between two revisions of a document, or between a
 * revision and a change that is not written yet.
 *
 * @param path the path
 * @param before the value before, or empty if it was not set; secrets are redacted
 * @param after the value after, or empty if it is not set; secrets are redacted
 */
public record Difference(String path, Optional<String> before, Optional<String> after) {

	static List<Difference> between(Map<String, String> before, Map<String, String> after) {
		TreeSet<String> paths = new TreeSet<>(before.keySet());
		paths.addAll(after.keySet());
		List<Difference> differences = new ArrayList<>();
		for (String path : paths) {
			Optional<String> old = Optional.ofNullable(before.get(path));
			Optional<String> current = Optional.ofNullable(after.get(path));
			if (!old.equals(current)) {
				differences.add(new Difference(path, old.map((value) -> Access.redact(path, value)),
						current.map((value) -> Access.redact(path, value))));
			}
		}
		return differences;
	}

}
