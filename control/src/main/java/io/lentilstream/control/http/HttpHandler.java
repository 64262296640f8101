package io.lentilstream.control.http;

import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A handler for the requests to an HTTP server.
 */
@FunctionalInterface
public interface HttpHandler {

	/** The status of a server that cannot handle a request now. */
	int UNAVAILABLE = 503;

	/** When to ask another process, in seconds. */
	int RETRY_AFTER_SECONDS = 1;

	/**
	 * Handles a request. The response may be given later.
	 * @param request the request
	 * @param responder takes the response; must be called exactly once
	 */
	void handle(Request request, Consumer<Response> responder);

	/**
	 * Returns the response to a request that is still handled, or waits to be, when the
	 * process ends. It must be true whatever becomes of the request.
	 * @param request the request
	 * @return the response
	 */
	default Response unfinished(Request request) {
		return new Response(UNAVAILABLE, new byte[0], RETRY_AFTER_SECONDS);
	}

	/**
	 * A complete request.
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
	 * A response.
	 *
	 * @param status the status code
	 * @param body the JSON body; empty if there is none
	 * @param retryAfterSeconds value of the Retry-After header, in seconds; 0 for none
	 */
	record Response(int status, byte[] body, int retryAfterSeconds) {

		private static final byte[] NO_BODY = {};

		/**
		 * Creates a response without a body.
		 * @param status the status code
		 * @return the response
		 */
		public static Response of(int status) {
			return new Response(status, NO_BODY, 0);
		}

	}

}
