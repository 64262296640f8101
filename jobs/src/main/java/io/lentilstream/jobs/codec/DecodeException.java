package io.lentilstream.jobs.codec;

/**
 * Thrown when stored bytes are corrupt or in a format that this version does not support.
 */
public final class DecodeException extends Exception {

	private static final long serialVersionUID = 1;

	/**
	 * Creates an exception.
	 * @param message what could not be decoded
	 * @param cause the cause
	 */
	public DecodeException(String message, Throwable cause) {
		super(message, cause);
	}

}
