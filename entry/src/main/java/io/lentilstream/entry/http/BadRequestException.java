package io.lentilstream.entry.http;

/**
 * An exception for a malformed request. Its message is sent to the caller.
 */
final class BadRequestException extends Exception {

	BadRequestException(String message) {
		super(message);
	}

}
