package io.lentilstream.jobs.codec;

/**
 * Thrown when stored bytes are not a record that this version can read.
 */
public final class DecodeException extends Exception {

	private static final long serialVersionUID = 1;

	DecodeException(String message, Throwable cause) {
		super(message, cause);
	}

}
