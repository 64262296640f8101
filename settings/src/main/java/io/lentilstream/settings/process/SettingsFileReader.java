package io.lentilstream.settings.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Reads a file by a settings table and collects all mistakes.
 */
final class SettingsFileReader {

	private final String file;

	private final List<SettingKey<?>> table;

	private final List<SettingsFileMistake> mistakes = new ArrayList<>();

	private final Map<List<String>, String> texts = new HashMap<>();

	private Set<String> sections = Set.of();

	private boolean readable = true;

	private SettingsFileReader(Path file, List<SettingKey<?>> table) {
		this.file = file.toString();
		this.table = table;
	}

	static SettingsFileReader read(Path file, List<SettingKey<?>> table) {
		SettingsFileReader values = new SettingsFileReader(file, table);
		try {
			values.check(IniEntries.read(file));
		}
		catch (IOException ex) {
			values.readable = false;
			values.mistake("", "", SettingsMessages.UNREADABLE_FILE, SettingsMessages.EXPECTED_FILE);
		}
		return values;
	}

	private void check(IniEntries entries) {
		this.sections = entries.sections();
		for (int number : entries.unreadableLines()) {
			mistake("", "", SettingsMessages.unreadableLine(number), SettingsMessages.EXPECTED_LINE);
		}
		// A section whose name is probably misspelled is not reported as missing as well.
		Set<String> misspelled = new LinkedHashSet<>();
		for (String section : entries.sections()) {
			if (keysOf(section).isEmpty()) {
				String nearest = NearestName.of(section, sectionNames());
				mistake(section, "", SettingsMessages.UNKNOWN_SECTION, SettingsMessages.nearest(nearest));
				misspelled.add(nearest);
			}
		}
		misspelled.removeAll(entries.sections());
		for (String section : entries.repeatedSections()) {
			mistake(section, "", SettingsMessages.REPEATED_SECTION, SettingsMessages.EXPECTED_ONCE);
		}
		Set<List<String>> seen = new LinkedHashSet<>();
		for (IniEntries.Entry entry : entries.entries()) {
			if (!seen.add(List.of(entry.section(), entry.key()))) {
				mistake(entry.section(), entry.key(), SettingsMessages.REPEATED_KEY, SettingsMessages.EXPECTED_ONCE);
				continue;
			}
			checkEntry(entry);
		}
		for (SettingKey<?> key : this.table) {
			for (String section : sectionsOf(key)) {
				if (!misspelled.contains(section)) {
					addMissing(section, key, seen);
				}
			}
		}
	}

	private void checkEntry(IniEntries.Entry entry) {
		if (entry.section().isEmpty()) {
			mistake("", entry.key(), SettingsMessages.KEY_WITHOUT_SECTION, SettingsMessages.EXPECTED_SECTION);
			return;
		}
		List<SettingKey<?>> keys = keysOf(entry.section());
		if (keys.isEmpty()) {
			return;
		}
		for (SettingKey<?> key : keys) {
			if (key.name().equals(entry.key())) {
				parse(entry.section(), key, entry.value());
				return;
			}
		}
		mistake(entry.section(), entry.key(), SettingsMessages.UNKNOWN_KEY,
				SettingsMessages.nearest(NearestName.of(entry.key(), keys.stream().map(SettingKey::name).toList())));
	}

	private void addMissing(String section, SettingKey<?> key, Set<List<String>> seen) {
		if (seen.contains(List.of(section, key.name()))) {
			return;
		}
		if (key.isRequired()) {
			mistake(section, key.name(), SettingsMessages.NOTHING, key.type().expected());
		}
		else if (!key.defaultText().isEmpty()) {
			parse(section, key, key.defaultText());
		}
	}

	private void parse(String section, SettingKey<?> key, String text) {
		if (key.type().parse(text).isPresent()) {
			this.texts.put(List.of(section, key.name()), text);
			return;
		}
		mistake(section, key.name(), SettingsMessages.found(key.type(), text), key.type().expected());
	}

	private List<SettingKey<?>> keysOf(String section) {
		List<SettingKey<?>> keys = new ArrayList<>();
		for (SettingKey<?> key : this.table) {
			if (key.belongsTo(section)) {
				keys.add(key);
			}
		}
		return keys;
	}

	private Set<String> sectionNames() {
		Set<String> names = new LinkedHashSet<>();
		this.table.forEach((key) -> names.add(key.section()));
		return names;
	}

	private List<String> sectionsOf(SettingKey<?> key) {
		return key.isNamed() ? this.sections.stream().filter(key::belongsTo).toList() : List.of(key.section());
	}

	/**
	 * Returns the names of the sections of a named kind.
	 * @param kind the word before the name, such as {@code service}
	 * @return the names in the order of the file
	 */
	List<String> names(String kind) {
		return this.sections.stream()
			.filter((section) -> section.startsWith(kind + " "))
			.map((section) -> section.substring(kind.length() + 1).trim())
			.toList();
	}

	/**
	 * Returns the value of a key.
	 * @param <T> the type of the value
	 * @param key the key
	 * @return the value; {@code null} if it is missing or wrong
	 */
	<T> T get(SettingKey<T> key) {
		return get(key, key.section());
	}

	/**
	 * Returns the value of a key of a named section.
	 * @param <T> the type of the value
	 * @param key the key
	 * @param section the section
	 * @return the value; {@code null} if it is missing or wrong
	 */
	<T> T get(SettingKey<T> key, String section) {
		String text = this.texts.get(List.of(section, key.name()));
		return (text != null) ? key.type().parse(text).orElse(null) : null;
	}

	/**
	 * Returns a key that stands in the file itself or in a file of its own.
	 * @param inline the key that holds the secret
	 * @param fileKey the key that holds the path of the file
	 * @return the secret; {@code null} if it is missing or wrong
	 */
	Secret secret(SettingKey<Secret> inline, SettingKey<Path> fileKey) {
		Secret secret = get(inline);
		Path path = get(fileKey);
		boolean wrong = this.mistakes.stream()
			.anyMatch((mistake) -> mistake.section().equals(inline.section())
					&& (mistake.key().equals(inline.name()) || mistake.key().equals(fileKey.name())));
		if (wrong || !this.readable) {
			return null;
		}
		if ((secret == null) == (path == null)) {
			mistake(inline.section(), inline.name(),
					(secret != null) ? SettingsMessages.both(fileKey.name()) : SettingsMessages.NOTHING,
					SettingsMessages.oneOf(inline.name(), fileKey.name()));
			return null;
		}
		return (secret != null) ? secret : readSecret(inline, fileKey, path);
	}

	private Secret readSecret(SettingKey<Secret> inline, SettingKey<Path> fileKey, Path path) {
		try {
			String text = Files.readString(path).strip();
			Optional<Secret> secret = inline.type().parse(text);
			if (secret.isPresent()) {
				return secret.get();
			}
			mistake(fileKey.section(), fileKey.name(), SettingsMessages.found(inline.type(), text),
					inline.type().expected());
		}
		catch (IOException ex) {
			mistake(fileKey.section(), fileKey.name(), SettingsMessages.quoted(path.toString()),
					fileKey.type().expected());
		}
		return null;
	}

	void mistake(String section, String key, String found, String expected) {
		this.mistakes.add(new SettingsFileMistake(this.file, section, key, found, expected));
	}

	/**
	 * Checks a rule between two values that are both present.
	 * @param <A> the type of the first value
	 * @param key the key to report
	 * @param value the value of the key; a missing one passes
	 * @param other the other value; a missing one passes
	 * @param valid whether the rule holds
	 * @param expected what is expected
	 */
	<A> void require(SettingKey<A> key, A value, Object other, Supplier<Boolean> valid, String expected) {
		if (value != null && other != null && !valid.get()) {
			String text = this.texts.get(List.of(key.section(), key.name()));
			mistake(key.section(), key.name(), SettingsMessages.quoted(text), expected);
		}
	}

	/**
	 * Builds the settings if there is no mistake.
	 * @param <T> the type of the settings
	 * @param builder builds the settings
	 * @return the result
	 */
	<T> SettingsResult<T> result(Supplier<T> builder) {
		if (!this.mistakes.isEmpty()) {
			return new SettingsResult.Invalid<>(List.copyOf(this.mistakes));
		}
		return new SettingsResult.Loaded<>(builder.get());
	}

}
