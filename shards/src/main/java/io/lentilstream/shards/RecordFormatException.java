package io.lentilstream.shards;

/**
 * Reports a stored record that cannot be read: an unknown format version or damaged
 * bytes. It never leaves this module; callers see a sealed outcome.
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
