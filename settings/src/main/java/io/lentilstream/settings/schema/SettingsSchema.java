package io.lentilstream.settings.schema;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import io.lentilstream.model.Identifiers;

/**
 * The schema of all settings that operators can change while the system runs.
 */
public final class SettingsSchema {

	static final String SERVICE = "/teams/*/services/*/";

	static final String KIND = "/teams/*/kinds/*/";

	static final String QUOTA = "/teams/*/quota/";

	static final String PLATFORM = "/platform/";

	private static final List<SettingDefinition> DEFINITIONS = List.of(
			choice(SERVICE + "urgency", List.of("urgent", "deferrable", "batch"), "urgent",
					"Urgency of requests that do not state one."),
			number(SERVICE + "expected-time", ValueType.DURATION, "1ms..1h", "50ms",
					"Service time that is assumed until observations replace it."),
			number(SERVICE + "timeout", ValueType.DURATION, "1ms..1h", "1s",
					"Time until the deadline of requests that state none."),
			text(SERVICE + "repeatable", ValueType.BOOLEAN, "true",
					"Whether a request may be retried after its first byte was sent."),
			text(SERVICE + "hedging", ValueType.BOOLEAN, "false",
					"Whether a slow request may be sent to a second endpoint; needs repeatable."),
			text(SERVICE + "spill", ValueType.BOOLEAN, "false",
					"Whether requests may run in another availability zone."),
			number(SERVICE + "queue-limit", ValueType.INTEGER, "0..100000", "1000",
					"Most requests that wait per entry VM."),
			number(SERVICE + "weight", ValueType.INTEGER, "1..1000", "100",
					"Share of the slots relative to other services of the team."),
			number(SERVICE + "retry-budget", ValueType.PERCENT, "0%..100%", "10%",
					"Most retries and hedged requests, relative to first attempts."),
			choice(KIND + "class", List.of("deferrable", "batch"), "deferrable",
					"Whether work is a request with an answer or a job on workers."),
			text(KIND + "service", ValueType.NAME, "", "Service that runs deferrable work; required for it."),
			text(KIND + "repeatable", ValueType.BOOLEAN, "false",
					"Whether work may run again after its first byte was sent."),
			number(KIND + "keep-time", ValueType.DURATION, "1s..30d", "1d",
					"Time that an answer is kept for the caller to collect."),
			number(KIND + "cores", ValueType.CORES, "0.01..1024", "1", "Cores of a batch task that states none."),
			number(KIND + "memory", ValueType.MEMORY, "1MB..16TB", "1GB", "Memory of a batch task that states none."),
			number(KIND + "accelerators", ValueType.INTEGER, "0..64", "0",
					"Accelerators of a batch task that states none."),
			number(QUOTA + "cores", ValueType.CORES, "0..10000000", "64", "Most cores of all tasks of the team."),
			number(QUOTA + "memory", ValueType.MEMORY, "0MB..65536TB", "256GB",
					"Most memory of all tasks of the team."),
			number(QUOTA + "accelerators", ValueType.INTEGER, "0..100000", "0",
					"Most accelerators of all tasks of the team."),
			number(QUOTA + "slots", ValueType.INTEGER, "0..1000000", "1000000",
					"Most endpoint slots that the team uses at once."),
			number(QUOTA + "weight", ValueType.INTEGER, "1..1000", "100", "Fair share relative to other teams."),
			text("/teams/*/keys/*/hash", ValueType.HASH, "",
					"Hash of an access key of the team; only the administrator changes it."),
			text(PLATFORM + "zones/*/region", ValueType.NAME, "", "Region of an availability zone."));

	private SettingsSchema() {
	}

	/**
	 * Returns the definitions of all settings.
	 * @return an immutable list
	 */
	public static List<SettingDefinition> definitions() {
		return DEFINITIONS;
	}

	/**
	 * Finds the definition of the setting at a path.
	 * @param path the path, such as {@code /teams/bakery/services/bread/timeout}
	 * @return the definition, or empty if there is no such setting
	 */
	public static Optional<SettingDefinition> find(String path) {
		for (SettingDefinition definition : DEFINITIONS) {
			if (matches(definition.parts(), parts(path), Integer.MAX_VALUE)) {
				return Optional.of(definition);
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the document that contains a path.
	 * @param path the path of a setting or of a subtree
	 * @return {@code /platform} or {@code /teams/<team>}, or empty if no document can
	 * contain the path
	 */
	public static Optional<String> documentOf(String path) {
		List<String> parts = parts(path);
		if (parts.get(0).equals("platform")) {
			return Optional.of("/platform");
		}
		if (parts.size() >= 2 && parts.get(0).equals("teams") && Identifiers.isValid(parts.get(1))) {
			return Optional.of("/teams/" + parts.get(1));
		}
		return Optional.empty();
	}

	/**
	 * Suggests a valid path for a misspelled one.
	 * @param path the unknown path
	 * @return the path with its wrong parts replaced, or empty if there is no similar
	 * valid path
	 */
	static Optional<String> nearest(String path) {
		List<String> parts = parts(path);
		List<String> corrected = new ArrayList<>();
		for (int depth = 0; depth < parts.size(); depth++) {
			TreeSet<String> known = new TreeSet<>();
			boolean acceptsName = false;
			for (SettingDefinition definition : DEFINITIONS) {
				List<String> pattern = definition.parts();
				if (pattern.size() > depth && matches(pattern, corrected, depth)) {
					known.add(pattern.get(depth));
					acceptsName = acceptsName || pattern.get(depth).equals("*");
				}
			}
			String part = parts.get(depth);
			if ((acceptsName && Identifiers.isValid(part)) || known.contains(part)) {
				corrected.add(part);
				continue;
			}
			Optional<String> suggestion = EditDistance.nearest(part, known);
			if (suggestion.isEmpty()) {
				return Optional.empty();
			}
			corrected.add(suggestion.get());
		}
		String candidate = "/" + String.join("/", corrected);
		return (!candidate.equals(path) && find(candidate).isPresent()) ? Optional.of(candidate) : Optional.empty();
	}

	private static SettingDefinition number(String pattern, ValueType type, String range, String defaultValue,
			String documentation) {
		String[] bounds = range.split("\\.\\.");
		return new SettingDefinition(pattern, type, type.number(bounds[0]).getAsLong(),
				type.number(bounds[1]).getAsLong(), List.of(), defaultValue, documentation);
	}

	private static SettingDefinition text(String pattern, ValueType type, String defaultValue, String documentation) {
		return new SettingDefinition(pattern, type, 0, 0, List.of(), defaultValue, documentation);
	}

	private static SettingDefinition choice(String pattern, List<String> choices, String defaultValue,
			String documentation) {
		return new SettingDefinition(pattern, ValueType.CHOICE, 0, 0, choices, defaultValue, documentation);
	}

	private static List<String> parts(String path) {
		return path.startsWith("/") ? List.of(path.substring(1).split("/", -1)) : List.of("");
	}

	private static boolean matches(List<String> pattern, List<String> parts, int depth) {
		if (depth == Integer.MAX_VALUE && pattern.size() != parts.size()) {
			return false;
		}
		for (int i = 0; i < Math.min(depth, parts.size()); i++) {
			boolean name = pattern.get(i).equals("*") && Identifiers.isValid(parts.get(i));
			if (!name && !pattern.get(i).equals(parts.get(i))) {
				return false;
			}
		}
		return true;
	}

}
