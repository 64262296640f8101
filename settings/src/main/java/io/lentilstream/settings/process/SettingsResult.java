package io.lentilstream.settings.process;

import java.util.List;

/**
 * The result of loading a settings file.
 *
 * @param <T> the type of the settings
 */
public sealed interface SettingsResult<T> {

	/**
	 * The file is valid.
	 *
	 * @param <T> the type of the settings
	 * @param settings the settings
	 */
	record Loaded<T>(T settings) implements SettingsResult<T> {
	}

	/**
	 * The file is not readable or not valid.
	 *
	 * @param <T> the type of the settings
	 * @param mistakes all mistakes, at least one
	 */
	record Invalid<T>(List<SettingsFileMistake> mistakes) implements SettingsResult<T> {
	}

}
