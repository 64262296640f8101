package io.lentilstream.model;

/**
 * Checks the text of ids. Ids become parts of store keys and URL paths, so they hold no
 * slash, space or control character.
 */
public final class Identifiers {

	/**
	 * Longest text of an id, in characters.
	 */
	public static final int MAX_LENGTH = 128;

	private Identifiers() {
	}

	/**
	 * Tells whether a text can be an id.
	 * @param text the text to check
	 * @return {@code true} if the text is a valid id
	 */
	public static boolean isValid(String text) {
		if (text == null || text.isEmpty() || text.length() > MAX_LENGTH) {
			return false;
		}
		for (int i = 0; i < text.length(); i++) {
			if (!isAllowed(text.charAt(i))) {
				return false;
			}
		}
		return !text.equals(".") && !text.equals("..");
	}

	static void requireValid(String text) {
		if (!isValid(text)) {
			throw new IllegalArgumentException("invalid id");
		}
	}

	private static boolean isAllowed(char c) {
		return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
				|| c == ':' || c == '-';
	}

}
