package io.lentilstream.settings.process;

/**
 * A key of a settings file, as one row of a settings table.
 *
 * @param <T> the type of the value
 * @param section the section; a section that ends in {@code *} matches any number of
 * named sections, such as {@code [service payments]}
 * @param name the key
 * @param type the type of the value
 * @param defaultText the text that is used if the key is missing; {@code null} if the key
 * is required, empty if the key may be missing and has no default
 * @param description what the key sets, for the documentation
 */
record SettingKey<T>(String section, String name, ValueParser<T> type, String defaultText, String description) {

	/**
	 * The suffix that marks the section of a key as a named section.
	 */
	static final String NAMED_SUFFIX = " *";

	static <T> SettingKey<T> required(String section, String name, ValueParser<T> type, String description) {
		return new SettingKey<>(section, name, type, null, description);
	}

	static <T> SettingKey<T> optional(String section, String name, ValueParser<T> type, String defaultText,
			String description) {
		return new SettingKey<>(section, name, type, defaultText, description);
	}

	boolean isRequired() {
		return this.defaultText == null;
	}

	boolean isInNamedSection() {
		return this.section.endsWith(NAMED_SUFFIX);
	}

	/**
	 * Tells whether a section of a file may contain this key.
	 * @param fileSection the section of the file
	 * @return {@code true} if this key is valid in the section
	 */
	boolean belongsTo(String fileSection) {
		if (!isInNamedSection()) {
			return this.section.equals(fileSection);
		}
		String prefix = this.section.substring(0, this.section.length() - 1);
		return fileSection.startsWith(prefix) && fileSection.length() > prefix.length();
	}

}
