package io.lentilstream.settings.schema;

/**
 * A mistake in a settings document.
 *
 * @param path the path of the setting
 * @param found what was found; never a secret
 * @param expected what is expected
 */
public record SettingsMistake(String path, String found, String expected) {

	@Override
	public String toString() {
		return this.path + ": found " + this.found + ", expected " + this.expected;
	}

}
