package io.lentilstream.settings.schema;

import java.time.Duration;
import java.util.Map;
import java.util.TreeSet;

/**
 * Reads typed values below one path. A value that is missing, or that this version cannot
 * read because a newer one wrote it, has its default.
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
			.orElseThrow(() -> new IllegalStateException("no definition of " + path));
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
	 * Returns the names that have at least one value below a path.
	 * @param values all values
	 * @param parent the path with a slash at its end
	 * @return the names in ascending order
	 */
	static TreeSet<String> names(Map<String, String> values, String parent) {
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
