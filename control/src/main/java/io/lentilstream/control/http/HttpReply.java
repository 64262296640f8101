package io.lentilstream.control.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * The outcome of an HTTP call.
 */
public sealed interface HttpReply {

	/**
	 * The server answered.
	 *
	 * @param status the status code
	 * @param headers the headers
	 * @param body the whole body
	 */
	record Answer(int status, HttpHeaders headers, byte[] body) implements HttpReply {
	}

	/**
	 * The request was not sent, and has no effect.
	 *
	 * @param reason why
	 */
	record NotSent(String reason) implements HttpReply {
	}

	/**
	 * There was no complete answer; the request may have had its effect, or may have it
	 * later.
	 *
	 * @param reason why
	 */
	record NoAnswer(String reason) implements HttpReply {
	}

}
