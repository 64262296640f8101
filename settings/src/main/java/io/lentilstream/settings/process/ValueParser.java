package io.lentilstream.settings.process;

import java.util.Optional;

/**
 * Parses the text of one setting.
 *
 * @param <T> the type of the value
 */
interface ValueParser<T> {

	/**
	 * Parses a text.
	 * @param text the text without surrounding space
	 * @return the value, or empty if the text is not valid
	 */
	Optional<T> parse(String text);

	/**
	 * Returns what a valid text is, for messages and documentation.
	 * @return a noun phrase
	 */
	String expected();

	/**
	 * Tells whether the text must not be shown.
	 * @return {@code true} for keys
	 */
	default boolean isSecret() {
		return false;
	}

}
