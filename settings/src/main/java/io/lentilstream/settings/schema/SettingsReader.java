package io.lentilstream.settings.schema;

import java.time.Duration;
import java.util.Map;
import java.util.TreeSet;

/**
 * Reads typed values below one path. The default replaces a value that is missing or that
 * this version does not accept, for example because a newer version wrote it.
 */
final class SettingsReader {

	private final Map<String, String> values;

	private final String parent;

	SettingsReader(Map<String, String> values, String parent) {
		this.values = values;
		this.parent = parent;
	}

	String text(String name) {
		String path = this.parent + name;
		SettingDefinition definition = SettingsSchema.find(path)
			.orElseThrow(() -> new IllegalStateException("no setting is defined for " + path));
		String value = this.values.get(path);
		return (value != null && definition.accepts(value)) ? value : definition.defaultValue();
	}

	long number(String name) {
		SettingDefinition definition = SettingsSchema.find(this.parent + name).orElseThrow();
		return definition.type().number(text(name)).getAsLong();
	}

	int integer(String name) {
		return Math.toIntExact(number(name));
	}

	Duration duration(String name) {
		return Duration.ofMillis(number(name));
	}

	boolean flag(String name) {
		return Boolean.parseBoolean(text(name));
	}

	/**
	 * Returns the names directly below a path that have a value of a known setting.
	 * @param values all values
	 * @param parent the path, with a trailing slash
	 * @return the names in ascending order
	 */
	static TreeSet<String> childNames(Map<String, String> values, String parent) {
		TreeSet<String> names = new TreeSet<>();
		for (String path : values.keySet()) {
			int end = path.indexOf('/', parent.length());
			if (path.startsWith(parent) && end > 0 && SettingsSchema.find(path).isPresent()) {
				names.add(path.substring(parent.length(), end));
			}
		}
		return names;
	}

}
