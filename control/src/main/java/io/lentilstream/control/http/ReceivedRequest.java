package io.lentilstream.control.http;

import java.util.Optional;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * A request that has been received and not answered.
 */
final class ReceivedRequest {

	/** The memory that a request takes beside its body, in bytes. */
	private static final int HEAD_BYTES = 512;

	private static final int BAD_REQUEST = 400;

	private static final int TOO_LARGE = 413;

	private final HttpHandler.Request content;

	private final boolean keepAlive;

	private final int refusalStatus;

	private final long receivedAtNanos;

	private boolean abandoned;

	ReceivedRequest(FullHttpRequest request, long receivedAtNanos) {
		this.content = new HttpHandler.Request(request.method(), request.uri(), request.headers().copy(),
				ByteBufUtil.getBytes(request.content()));
		this.refusalStatus = refusalStatus(request);
		this.keepAlive = HttpUtil.isKeepAlive(request) && this.refusalStatus != BAD_REQUEST;
		this.receivedAtNanos = receivedAtNanos;
	}

	private static int refusalStatus(FullHttpRequest request) {
		if (!request.decoderResult().isFailure()) {
			return 0;
		}
		return (request.decoderResult().cause() instanceof TooLongHttpContentException) ? TOO_LARGE : BAD_REQUEST;
	}

	HttpHandler.Request content() {
		return this.content;
	}

	boolean keepAlive() {
		return this.keepAlive;
	}

	/**
	 * Returns the response to a request that is not handled.
	 * @return the response; empty if the request is valid
	 */
	Optional<HttpHandler.Response> refusal() {
		return (this.refusalStatus == 0) ? Optional.empty() : Optional.of(HttpHandler.Response.of(this.refusalStatus));
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
