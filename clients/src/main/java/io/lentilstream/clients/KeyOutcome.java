package io.lentilstream.clients;

/**
 * Is what an endpoint knows about an idempotency key.
 */
public sealed interface KeyOutcome {

	/**
	 * The request ran; this is its answer.
	 *
	 * @param status the HTTP status
	 * @param contentType the media type
	 * @param body the whole body
	 */
	record Ran(int status, String contentType, byte[] body) implements KeyOutcome {
	}

	/**
	 * The request runs now.
	 */
	record Running() implements KeyOutcome {
	}

	/**
	 * The endpoint has not seen the key; it may still arrive.
	 */
	record Unseen() implements KeyOutcome {
	}

	/**
	 * The endpoint has not run the key and will refuse this attempt from now on.
	 */
	record Sealed() implements KeyOutcome {
	}

	/**
	 * The endpoint did not answer.
	 *
	 * @param reason a short reason
	 */
	record NoReply(String reason) implements KeyOutcome {
	}

}
