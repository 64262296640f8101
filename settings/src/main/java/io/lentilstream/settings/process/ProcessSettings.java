package io.lentilstream.settings.process;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Loads and documents the settings files of entry daemons and stand-in platforms.
 */
public final class ProcessSettings {

	private static final String ENTRY_TITLE = "Entry daemon";

	private static final String STANDIN_TITLE = "Stand-in platform";

	private ProcessSettings() {
	}

	/**
	 * Loads a settings file of either process. A file with a section {@code [standin]}
	 * belongs to a stand-in platform, any other file to an entry daemon.
	 * @param file the file
	 * @return the settings, or all mistakes of the file
	 */
	public static SettingsResult<?> check(Path file) {
		return isStandin(file) ? StandinSettings.load(file) : EntrySettings.load(file);
	}

	private static boolean isStandin(Path file) {
		try {
			return IniEntries.read(file).sections().contains(StandinSettingsTable.SECTION);
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Returns the reference page of process settings for operators.
	 * @return the page in Markdown
	 */
	public static String documentation() {
		StringBuilder page = new StringBuilder("""
				# Process settings

				This page is printed by `lentilstream check --describe` from the tables in the code.

				A settings file is an INI file in UTF-8. A line is `[section]`, `key = value`, or a comment that
				starts with `#` or `;`. Durations have a unit (`us`, `ms`, `s`, `m`, `h`), and so have sizes (`B`,
				`KB`, `MB`, `GB` of 1000, `KiB`, `MiB`, `GiB` of 1024). Unknown sections and keys and repeated ones
				are mistakes. `lentilstream check --settings FILE` reports all mistakes of a file at once.
				""");
		append(page, ENTRY_TITLE, EntrySettingsTable.KEYS);
		append(page, STANDIN_TITLE, StandinSettingsTable.KEYS);
		return page.toString();
	}

	private static void append(StringBuilder page, String title, List<SettingKey<?>> keys) {
		page.append("\n## ").append(title).append('\n');
		String section = "";
		for (SettingKey<?> key : keys) {
			if (!key.section().equals(section)) {
				section = key.section();
				page.append("\n### `[").append(section.replace("*", "NAME")).append("]`\n\n");
				page.append("| key | value | default | meaning |\n|---|---|---|---|\n");
			}
			page.append("| `")
				.append(key.name())
				.append("` | ")
				.append(key.type().expected())
				.append(" | ")
				.append(defaultOf(key))
				.append(" | ")
				.append(key.description())
				.append(" |\n");
		}
	}

	private static String defaultOf(SettingKey<?> key) {
		if (key.isRequired()) {
			return "required";
		}
		return key.defaultText().isEmpty() ? "none" : "`" + key.defaultText() + "`";
	}

}
