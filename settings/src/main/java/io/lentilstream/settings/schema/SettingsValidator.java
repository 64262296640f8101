package io.lentilstream.settings.schema;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Validates the settings of one document and reports all mistakes at once.
 */
public final class SettingsValidator {

	private static final int MAX_SHOWN_LENGTH = 200;

	private SettingsValidator() {
	}

	/**
	 * Validates each value by itself and the rules between values of the same document.
	 * @param values all values of one document by path
	 * @return the mistakes in the order of their paths; empty if all values are valid
	 */
	public static List<SettingsMistake> validate(Map<String, String> values) {
		List<SettingsMistake> mistakes = new ArrayList<>();
		Map<String, String> sorted = new TreeMap<>(values);
		sorted.forEach((path, value) -> checkValue(path, value, mistakes));
		sorted.forEach((path, value) -> checkRules(path, value, sorted, mistakes));
		return mistakes;
	}

	private static void checkValue(String path, String value, List<SettingsMistake> mistakes) {
		Optional<SettingDefinition> definition = SettingsSchema.find(path);
		if (definition.isEmpty()) {
			String nearest = SettingsSchema.nearest(path).map((name) -> "; did you mean " + name + "?").orElse("");
			mistakes
				.add(new SettingsMistake(shortened(path), "an unknown setting", "a setting of the schema" + nearest));
		}
		else if (!definition.get().accepts(value)) {
			mistakes
				.add(new SettingsMistake(path, quoted(definition.get().redact(value)), definition.get().expected()));
		}
	}

	private static void checkRules(String path, String value, Map<String, String> values,
			List<SettingsMistake> mistakes) {
		Optional<SettingDefinition> definition = SettingsSchema.find(path);
		if (definition.isEmpty() || !definition.get().accepts(value)) {
			return;
		}
		String parent = path.substring(0, path.lastIndexOf('/') + 1);
		switch (definition.get().pattern()) {
			case SettingsSchema.KIND + "service" -> checkServiceExists(path, value, values, mistakes);
			case SettingsSchema.SERVICE + "hedging" -> {
				if (value.equals("true") && values.getOrDefault(parent + "repeatable", "true").equals("false")) {
					mistakes.add(new SettingsMistake(path, "true", "false, since the service is not repeatable"));
				}
			}
			case SettingsSchema.SERVICE + "expected-time" ->
				checkUpperLimit(path, parent + "timeout", values, 1, mistakes);
			default -> {
			}
		}
		checkKindHasService(path, parent, values, mistakes);
	}

	private static void checkServiceExists(String path, String service, Map<String, String> values,
			List<SettingsMistake> mistakes) {
		String team = path.substring(0, path.indexOf("/kinds/"));
		String prefix = team + "/services/" + service + "/";
		if (values.keySet().stream().noneMatch((other) -> other.startsWith(prefix))) {
			mistakes.add(new SettingsMistake(path, quoted(service), "a service of the same team"));
		}
	}

	private static void checkKindHasService(String path, String parent, Map<String, String> values,
			List<SettingsMistake> mistakes) {
		boolean isFirstPathOfKind = SettingsSchema.find(parent + "class").isPresent()
				&& values.keySet().stream().filter((other) -> other.startsWith(parent)).findFirst().get().equals(path);
		boolean deferrable = values.getOrDefault(parent + "class", "deferrable").equals("deferrable");
		if (isFirstPathOfKind && deferrable && !values.containsKey(parent + "service")) {
			mistakes
				.add(new SettingsMistake(parent + "service", "no value", "the service that runs the deferrable work"));
		}
	}

	private static void checkUpperLimit(String path, String limitPath, Map<String, String> values, int divisor,
			List<SettingsMistake> mistakes) {
		SettingDefinition limit = SettingsSchema.find(limitPath).orElseThrow();
		String limitText = values.getOrDefault(limitPath, limit.defaultValue());
		OptionalLong limitNumber = limit.type().number(limitText);
		OptionalLong number = limit.type().number(values.get(path));
		if (limitNumber.isPresent() && number.getAsLong() > limitNumber.getAsLong() / divisor) {
			String part = (divisor == 1) ? "" : "half of ";
			mistakes.add(new SettingsMistake(path, quoted(values.get(path)),
					"at most " + part + limitPath + ", which is " + limitText));
		}
	}

	private static String quoted(String value) {
		return "\"" + shortened(value) + "\"";
	}

	private static String shortened(String text) {
		return (text.length() > MAX_SHOWN_LENGTH) ? text.substring(0, MAX_SHOWN_LENGTH) + "..." : text;
	}

}
