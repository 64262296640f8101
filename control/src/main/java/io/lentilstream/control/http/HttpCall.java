package io.lentilstream.control.http;

import java.util.HashMap;
import java.util.Map;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A call to a server.
 *
 * @param method the method
 * @param uri path and query
 * @param headers headers in addition to those that the client sets
 * @param body the body; empty if there is none
 * @param timeoutMillis maximum time until the response begins, including the time in the
 * queue, in milliseconds; a response that has begun may take longer while it arrives
 */
public record HttpCall(HttpMethod method, String uri, Map<String, String> headers, byte[] body, long timeoutMillis) {

	private static final byte[] NO_BODY = {};

	/**
	 * Creates a GET call without a body and headers.
	 * @param uri path and query
	 * @param timeoutMillis maximum time until the response begins, including the time in
	 * the queue, in milliseconds
	 * @return the call
	 */
	public static HttpCall get(String uri, long timeoutMillis) {
		return new HttpCall(HttpMethod.GET, uri, Map.of(), NO_BODY, timeoutMillis);
	}

	/**
	 * Creates a POST call with a JSON body.
	 * @param uri path and query
	 * @param body the body
	 * @param timeoutMillis maximum time until the response begins, including the time in
	 * the queue, in milliseconds
	 * @return the call
	 */
	public static HttpCall post(String uri, byte[] body, long timeoutMillis) {
		return new HttpCall(HttpMethod.POST, uri, Map.of(), body, timeoutMillis);
	}

	/**
	 * Returns a copy with one more header.
	 * @param name the name of the header
	 * @param value its value
	 * @return the copy
	 */
	public HttpCall withHeader(String name, String value) {
		Map<String, String> more = new HashMap<>(this.headers);
		more.put(name, value);
		return new HttpCall(this.method, this.uri, more, this.body, this.timeoutMillis);
	}

}
