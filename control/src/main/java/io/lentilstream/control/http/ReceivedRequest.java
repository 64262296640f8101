package io.lentilstream.control.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * A request that has been received and not answered.
 */
final class ReceivedRequest {

	/** The memory that a request takes beside its body, in bytes. */
	private static final int HEAD_BYTES = 512;

	private final HttpHandler.Request content;

	private final boolean keepAlive;

	private final boolean malformed;

	private final long receivedAtNanos;

	private boolean abandoned;

	ReceivedRequest(FullHttpRequest request, long receivedAtNanos) {
		this.content = new HttpHandler.Request(request.method(), request.uri(), request.headers().copy(),
				ByteBufUtil.getBytes(request.content()));
		this.malformed = request.decoderResult().isFailure();
		this.keepAlive = HttpUtil.isKeepAlive(request) && !this.malformed;
		this.receivedAtNanos = receivedAtNanos;
	}

	HttpHandler.Request content() {
		return this.content;
	}

	boolean keepAlive() {
		return this.keepAlive;
	}

	/**
	 * Returns whether the request is not valid HTTP.
	 * @return {@code true} if it could not be decoded
	 */
	boolean malformed() {
		return this.malformed;
	}

	/**
	 * Returns when the request was received.
	 * @return the time of {@link System#nanoTime}
	 */
	long receivedAtNanos() {
		return this.receivedAtNanos;
	}

	/**
	 * Returns about how much memory the request takes.
	 * @return the size in bytes
	 */
	int size() {
		return HEAD_BYTES + this.content.body().length;
	}

	String description() {
		return this.content.method() + " " + this.content.uri();
	}

	/**
	 * Marks the request as answered without its handler, whose response is ignored.
	 */
	void abandon() {
		this.abandoned = true;
	}

	boolean abandoned() {
		return this.abandoned;
	}

}
