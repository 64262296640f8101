package io.lentilstream.shards;

/**
 * Thrown if a stored record cannot be read because its format version is unknown or its
 * bytes are damaged. The exception stays inside this module; callers receive an action
 * instead.
 */
public final class RecordFormatException extends Exception {

	private static final long serialVersionUID = 1;

	/**
	 * Creates the exception.
	 * @param message what was found and what is expected
	 */
	public RecordFormatException(String message) {
		super(message);
	}

}
