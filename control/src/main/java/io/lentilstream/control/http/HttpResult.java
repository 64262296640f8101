package io.lentilstream.control.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The result of an HTTP call.
 */
public sealed interface HttpResult {

	/**
	 * The server sent a complete response.
	 *
	 * @param status the status code
	 * @param headers the headers
	 * @param body the body
	 */
	record Response(int status, HttpHeaders headers, byte[] body) implements HttpResult {
	}

	/**
	 * The request was not sent and has no effect.
	 *
	 * @param reason the reason, for the log
	 */
	record NotSent(String reason) implements HttpResult {
	}

	/**
	 * There was no complete response. The request may have taken effect, or may still do
	 * so at a later time.
	 *
	 * @param reason the reason, for the log
	 */
	record NoResponse(String reason) implements HttpResult {
	}

}
