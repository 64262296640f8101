package io.lentilstream.jobs.codec;

/**
 * Thrown when stored bytes are corrupt or in a format that this version does not support.
 */
public final class DecodeException extends Exception {

	private static final long serialVersionUID = 1;

	DecodeException(String message, Throwable cause) {
		super(message, cause);
	}

}
