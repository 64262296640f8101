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
 * Reads a settings file, validates it against a table of keys and collects all mistakes.
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
		SettingsFileReader reader = new SettingsFileReader(file, table);
		try {
			reader.validate(IniEntries.read(file));
		}
		catch (IOException ex) {
			reader.readable = false;
			reader.addMistake("", "", SettingsMessages.UNREADABLE_FILE, SettingsMessages.EXPECTED_FILE);
		}
		return reader;
	}

	private void validate(IniEntries entries) {
		this.sections = entries.sections();
		for (int number : entries.unreadableLines()) {
			addMistake("", "", SettingsMessages.unreadableLine(number), SettingsMessages.EXPECTED_LINE);
		}
		// The known section that a misspelled one probably stands for is not reported as
		// missing as well.
		Set<String> misspelled = new LinkedHashSet<>();
		for (String section : entries.sections()) {
			if (keysOf(section).isEmpty()) {
				String nearest = NearestName.of(section, sectionNames());
				addMistake(section, "", SettingsMessages.UNKNOWN_SECTION, SettingsMessages.nearest(nearest));
				misspelled.add(nearest);
			}
		}
		misspelled.removeAll(entries.sections());
		for (String section : entries.repeatedSections()) {
			addMistake(section, "", SettingsMessages.REPEATED_SECTION, SettingsMessages.EXPECTED_ONCE);
		}
		Set<List<String>> seen = new LinkedHashSet<>();
		for (IniEntries.Entry entry : entries.entries()) {
			if (!seen.add(List.of(entry.section(), entry.key()))) {
				addMistake(entry.section(), entry.key(), SettingsMessages.REPEATED_KEY, SettingsMessages.EXPECTED_ONCE);
				continue;
			}
			validateEntry(entry);
		}
		for (SettingKey<?> key : this.table) {
			for (String section : sectionsOf(key)) {
				if (!misspelled.contains(section)) {
					applyDefault(section, key, seen);
				}
			}
		}
	}

	private void validateEntry(IniEntries.Entry entry) {
		if (entry.section().isEmpty()) {
			addMistake("", entry.key(), SettingsMessages.KEY_WITHOUT_SECTION, SettingsMessages.EXPECTED_SECTION);
			return;
		}
		List<SettingKey<?>> keys = keysOf(entry.section());
		if (keys.isEmpty()) {
			return;
		}
		for (SettingKey<?> key : keys) {
			if (key.name().equals(entry.key())) {
				parseValue(entry.section(), key, entry.value());
				return;
			}
		}
		addMistake(entry.section(), entry.key(), SettingsMessages.UNKNOWN_KEY,
				SettingsMessages.nearest(NearestName.of(entry.key(), keys.stream().map(SettingKey::name).toList())));
	}

	private void applyDefault(String section, SettingKey<?> key, Set<List<String>> seen) {
		if (seen.contains(List.of(section, key.name()))) {
			return;
		}
		if (key.isRequired()) {
			addMistake(section, key.name(), SettingsMessages.NOTHING, key.type().expected());
		}
		else if (!key.defaultText().isEmpty()) {
			parseValue(section, key, key.defaultText());
		}
	}

	private void parseValue(String section, SettingKey<?> key, String text) {
		if (key.type().parse(text).isPresent()) {
			this.texts.put(List.of(section, key.name()), text);
			return;
		}
		addMistake(section, key.name(), SettingsMessages.describeValue(key.type(), text), key.type().expected());
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
		return key.isInNamedSection() ? this.sections.stream().filter(key::belongsTo).toList() : List.of(key.section());
	}

	/**
	 * Returns the names of the named sections with a prefix.
	 * @param kind the prefix before the name, such as {@code service}
	 * @return the names in the order of the file
	 */
	List<String> namesOf(String kind) {
		return this.sections.stream()
			.filter((section) -> section.startsWith(kind + " "))
			.map((section) -> section.substring(kind.length() + 1).trim())
			.toList();
	}

	/**
	 * Returns the value of a key.
	 * @param <T> the type of the value
	 * @param key the key
	 * @return the value; {@code null} if it is missing or not valid
	 */
	<T> T get(SettingKey<T> key) {
		return get(key, key.section());
	}

	/**
	 * Returns the value of a key of a named section.
	 * @param <T> the type of the value
	 * @param key the key
	 * @param section the section
	 * @return the value; {@code null} if it is missing or not valid
	 */
	<T> T get(SettingKey<T> key, String section) {
		String text = this.texts.get(List.of(section, key.name()));
		return (text != null) ? key.type().parse(text).orElse(null) : null;
	}

	/**
	 * Returns a secret that is given either in the settings file or in a separate file.
	 * @param inline the key that holds the secret
	 * @param fileKey the key that holds the path of the file
	 * @return the secret; {@code null} if it is missing or not valid
	 */
	Secret secret(SettingKey<Secret> inline, SettingKey<Path> fileKey) {
		Secret secret = get(inline);
		Path path = get(fileKey);
		boolean invalid = this.mistakes.stream()
			.anyMatch((mistake) -> mistake.section().equals(inline.section())
					&& (mistake.key().equals(inline.name()) || mistake.key().equals(fileKey.name())));
		if (invalid || !this.readable) {
			return null;
		}
		if ((secret == null) == (path == null)) {
			addMistake(inline.section(), inline.name(),
					(secret != null) ? SettingsMessages.alongside(fileKey.name()) : SettingsMessages.NOTHING,
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
			addMistake(fileKey.section(), fileKey.name(), SettingsMessages.describeValue(inline.type(), text),
					inline.type().expected());
		}
		catch (IOException ex) {
			addMistake(fileKey.section(), fileKey.name(), SettingsMessages.quoted(path.toString()),
					fileKey.type().expected());
		}
		return null;
	}

	void addMistake(String section, String key, String found, String expected) {
		this.mistakes.add(new SettingsFileMistake(this.file, section, key, found, expected));
	}

	/**
	 * Adds a mistake if two values are present and violate a rule between them.
	 * @param <A> the type of the first value
	 * @param key the key that the mistake is reported for
	 * @param value the value of the key; {@code null} if it is missing
	 * @param other the other value; {@code null} if it is missing
	 * @param valid whether the rule holds; called only if both values are present
	 * @param expected what is expected
	 */
	<A> void require(SettingKey<A> key, A value, Object other, Supplier<Boolean> valid, String expected) {
		if (value != null && other != null && !valid.get()) {
			String text = this.texts.get(List.of(key.section(), key.name()));
			addMistake(key.section(), key.name(), SettingsMessages.quoted(text), expected);
		}
	}

	/**
	 * Returns the settings, or the mistakes that were found.
	 * @param <T> the type of the settings
	 * @param builder creates the settings; called only if there is no mistake
	 * @return the result
	 */
	<T> SettingsResult<T> result(Supplier<T> builder) {
		if (!this.mistakes.isEmpty()) {
			return new SettingsResult.Invalid<>(List.copyOf(this.mistakes));
		}
		return new SettingsResult.Loaded<>(builder.get());
	}

}
