package io.lentilstream.model;

/**
 * Validation of ids. Ids become parts of store keys and URL paths, so they must not
 * contain a slash, a space or a control character.
 */
public final class Identifiers {

	/**
	 * Maximum length of an id, in characters.
	 */
	public static final int MAX_LENGTH = 128;

	private Identifiers() {
	}

	/**
	 * Returns whether a text is a valid id.
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
