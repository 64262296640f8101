package io.lentilstream.standin;

import java.util.Map;

import io.lentilstream.clients.http.PlatformJson;

/**
 * Is an answer of the stand-in and how it is delivered.
 *
 * @param status the HTTP status
 * @param headers the headers without length and type
 * @param contentType the media type
 * @param body the body
 * @param delivery how much of the answer is written
 */
record Reply(int status, Map<String, String> headers, String contentType, byte[] body, Delivery delivery) {

	static Reply json(int status, Object message) {
		return new Reply(status, Map.of(), "application/json", PlatformJson.write(message), Delivery.WHOLE);
	}

	static Reply closed() {
		return new Reply(0, Map.of(), "", new byte[0], Delivery.CLOSED);
	}

	Reply delivered(Delivery how) {
		return new Reply(this.status, this.headers, this.contentType, this.body, how);
	}

	Reply withHeaders(Map<String, String> others) {
		return new Reply(this.status, others, this.contentType, this.body, this.delivery);
	}

	/**
	 * How much of an answer is written.
	 */
	enum Delivery {

		/** The whole answer. */
		WHOLE,

		/** The connection is closed before the first byte. */
		CLOSED,

		/** The connection is closed in the middle of a body of known length. */
		CLOSED_IN_BODY,

		/** The connection is closed in the middle of a chunked body. */
		CLOSED_IN_CHUNKS,

		/** The whole answer twice on the same connection. */
		TWICE

	}

}
