package io.lentilstream.settings.process;

/**
 * A mistake in a settings file.
 *
 * @param file the name of the file
 * @param section the section, or an empty text if the mistake is not in a section
 * @param key the key, or an empty text if the mistake does not concern a key
 * @param found what was found
 * @param expected what is expected
 */
public record SettingsFileMistake(String file, String section, String key, String found, String expected) {

	/**
	 * Returns the mistake as one line.
	 * @return the text without a line terminator
	 */
	public String line() {
		String line = this.file + ": [" + this.section + "] " + this.key + ": found " + this.found + ", expected "
				+ this.expected;
		return line.replaceAll("[\\r\\n]+", " ");
	}

	@Override
	public String toString() {
		return line();
	}

}
