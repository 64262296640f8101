package io.lentilstream.clients.http;

import okhttp3.Headers;

/**
 * Is the result of one HTTP call.
 */
sealed interface HttpResult {

	/**
	 * The whole answer arrived.
	 *
	 * @param status the HTTP status
	 * @param headers the headers
	 * @param body the whole body
	 */
	record Whole(int status, Headers headers, byte[] body) implements HttpResult {

		String contentType() {
			String type = this.headers.get("Content-Type");
			return (type != null) ? type : "application/octet-stream";
		}

	}

	/**
	 * No whole answer arrived.
	 *
	 * @param sent whether a byte of the request may have been written
	 * @param reason a short reason
	 */
	record Failed(boolean sent, String reason) implements HttpResult {
	}

}
