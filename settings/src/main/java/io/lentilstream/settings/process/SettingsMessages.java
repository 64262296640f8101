package io.lentilstream.settings.process;

import java.util.List;
import java.util.stream.Collectors;

/**
 * The message texts for mistakes in settings files.
 */
final class SettingsMessages {

	static final String NOTHING = "nothing";

	static final String UNKNOWN_SECTION = "an unknown section";

	static final String UNKNOWN_KEY = "an unknown key";

	static final String REPEATED_SECTION = "the section more than once";

	static final String REPEATED_KEY = "the key more than once";

	static final String EXPECTED_ONCE = "it at most once";

	static final String KEY_WITHOUT_SECTION = "a key before the first section";

	static final String EXPECTED_SECTION = "a section line such as [vm] before it";

	static final String UNREADABLE_FILE = "no readable file";

	static final String EXPECTED_FILE = "a text file in UTF-8";

	static final String EXPECTED_LINE = "[section], key = value, or a comment that starts with # or ;";

	static final String EXPECTED_SECTION_NAME = "a name of letters, digits, '.', '_', ':' or '-' after the first word";

	private static final int MAX_QUOTED_LENGTH = 80;

	private SettingsMessages() {
	}

	static String unreadableLine(int number) {
		return "line " + number + ", which cannot be read";
	}

	static String nearest(String name) {
		return "a known name; the nearest is '" + name + "'";
	}

	static String quoted(String text) {
		String shown = (text.length() > MAX_QUOTED_LENGTH) ? text.substring(0, MAX_QUOTED_LENGTH) + "..." : text;
		return "'" + shown + "'";
	}

	static String describeValue(ValueParser<?> type, String text) {
		return type.isSecret() ? "a key of " + text.length() + " characters" : quoted(text);
	}

	static String alongside(String other) {
		return "it beside " + other;
	}

	static String oneOfList(List<?> values) {
		return "one of " + values.stream().map(Object::toString).collect(Collectors.joining(", "));
	}

	static String oneOf(String first, String second) {
		return "either " + first + " or " + second;
	}

}
