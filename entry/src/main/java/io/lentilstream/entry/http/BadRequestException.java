package io.lentilstream.entry.http;

/**
 * Signals a request that cannot be understood; its message goes to the caller.
 */
final class BadRequestException extends Exception {

	BadRequestException(String message) {
		super(message);
	}

}
