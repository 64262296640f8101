package io.lentilstream.settings.process;

import java.util.Optional;

/**
 * Parses and describes the values of a setting.
 *
 * @param <T> the type of the value
 */
interface ValueParser<T> {

	/**
	 * Parses a text.
	 * @param text the text, without leading and trailing white space
	 * @return the value, or empty if the text is not valid
	 */
	Optional<T> parse(String text);

	/**
	 * Describes the valid texts, for messages and documentation.
	 * @return a noun phrase
	 */
	String expected();

	/**
	 * Tells whether the text must not appear in messages.
	 * @return {@code true} for secret keys
	 */
	default boolean isSecret() {
		return false;
	}

}
