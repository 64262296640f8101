package io.lentilstream.clients.http;

import java.time.Duration;

/**
 * Sets the limits of an HTTP client of the platform.
 *
 * @param connectTimeout the longest time to open a connection
 * @param callTimeout the longest time of a call from its start to the end of its body;
 * waiting watches and requests to endpoints bring their own
 * @param maximumCalls calls in flight at once; a further call is not sent
 * @param maximumBodyBytes largest body of an answer, in bytes
 * @param idleConnections connections kept open without a call
 */
public record HttpClientSettings(Duration connectTimeout, Duration callTimeout, int maximumCalls, int maximumBodyBytes,
		int idleConnections) {

	/**
	 * Limits that fit 45 endpoints of 64 connections, a store and its watches.
	 */
	public static final HttpClientSettings DEFAULTS = new HttpClientSettings(Duration.ofSeconds(1),
			Duration.ofSeconds(3), 3_000, 8_000_000, 512);

	/**
	 * Returns a copy with another call timeout.
	 * @param timeout the longest time of a call
	 * @return the copy
	 */
	public HttpClientSettings withCallTimeout(Duration timeout) {
		return new HttpClientSettings(this.connectTimeout, timeout, this.maximumCalls, this.maximumBodyBytes,
				this.idleConnections);
	}

	/**
	 * Returns a copy with another limit of calls in flight.
	 * @param calls calls in flight at once
	 * @return the copy
	 */
	public HttpClientSettings withMaximumCalls(int calls) {
		return new HttpClientSettings(this.connectTimeout, this.callTimeout, calls, this.maximumBodyBytes,
				this.idleConnections);
	}

	/**
	 * Returns a copy with another limit of the body of an answer.
	 * @param bytes largest body, in bytes
	 * @return the copy
	 */
	public HttpClientSettings withMaximumBodyBytes(int bytes) {
		return new HttpClientSettings(this.connectTimeout, this.callTimeout, this.maximumCalls, bytes,
				this.idleConnections);
	}

}
