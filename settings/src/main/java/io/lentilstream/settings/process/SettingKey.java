package io.lentilstream.settings.process;

/**
 * Is one row of a settings table.
 *
 * @param <T> the type of the value
 * @param section the section; a name that ends in {@code *} stands for any number of
 * sections with a name of their own, such as {@code [service payments]}
 * @param name the key
 * @param type the type of the value
 * @param defaultText the text that is taken if the key is missing; {@code null} if the
 * key is required, empty if the key may be missing and has no default
 * @param description what the key sets, for the documentation
 */
record SettingKey<T>(String section, String name, ValueParser<T> type, String defaultText, String description) {

	/**
	 * Ends the section of a key that belongs to named sections.
	 */
	static final String NAMED = " *";

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

	boolean isNamed() {
		return this.section.endsWith(NAMED);
	}

	/**
	 * Tells whether a section of a file is the section of this key.
	 * @param fileSection the section of the file
	 * @return {@code true} if this key can stand there
	 */
	boolean belongsTo(String fileSection) {
		if (!isNamed()) {
			return this.section.equals(fileSection);
		}
		String prefix = this.section.substring(0, this.section.length() - 1);
		return fileSection.startsWith(prefix) && fileSection.length() > prefix.length();
	}

}
