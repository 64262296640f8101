package io.lentilstream.control.http;

import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * Answers requests of a listener.
 */
@FunctionalInterface
public interface HttpHandler {

	/**
	 * Answers a request, now or later.
	 * @param request the request
	 * @param responder takes the answer, once
	 */
	void handle(Request request, Consumer<Response> responder);

	/**
	 * Is a whole request.
	 *
	 * @param method the method
	 * @param uri path and query
	 * @param headers the headers
	 * @param body the body
	 */
	record Request(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {

		/**
		 * Returns the path without the query.
		 * @return the path
		 */
		public String path() {
			int query = this.uri.indexOf('?');
			return (query >= 0) ? this.uri.substring(0, query) : this.uri;
		}

	}

	/**
	 * Is an answer.
	 *
	 * @param status the status code
	 * @param body the JSON body; empty if there is none
	 * @param retryAfterSeconds when to come back, in seconds; 0 to say nothing
	 */
	record Response(int status, byte[] body, int retryAfterSeconds) {

		private static final byte[] NO_BODY = {};

		/**
		 * Creates an answer without body.
		 * @param status the status code
		 * @return the answer
		 */
		public static Response of(int status) {
			return new Response(status, NO_BODY, 0);
		}

	}

}
