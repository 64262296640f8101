package io.lentilstream.control.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The outcome of an HTTP call.
 */
public sealed interface HttpResult {

	/**
	 * The server answered.
	 *
	 * @param status the status code
	 * @param headers the headers
	 * @param body the whole body
	 */
	record Response(int status, HttpHeaders headers, byte[] body) implements HttpResult {
	}

	/**
	 * The request was not sent, and has no effect.
	 *
	 * @param reason why
	 */
	record NotSent(String reason) implements HttpResult {
	}

	/**
	 * There was no complete answer; the request may have had its effect, or may have it
	 * later.
	 *
	 * @param reason why
	 */
	record NoResponse(String reason) implements HttpResult {
	}

}
