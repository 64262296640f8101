package io.lentilstream.control.http;

import java.util.Map;
import java.util.Optional;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * A request that has been received and not answered.
 */
final class ReceivedRequest {

	/** The memory that a request takes beside its head and body, in bytes. */
	private static final int OBJECT_BYTES = 512;

	private static final int BAD_REQUEST = 400;

	private static final int TOO_LARGE = 413;

	private final HttpHandler.Request content;

	private final boolean keepAlive;

	private final int refusalStatus;

	private final long receivedAtNanos;

	private final int size;

	private boolean abandoned;

	ReceivedRequest(FullHttpRequest request, long receivedAtNanos) {
		this.content = new HttpHandler.Request(request.method(), request.uri(), request.headers().copy(),
				ByteBufUtil.getBytes(request.content()));
		this.refusalStatus = refusalStatus(request);
		this.keepAlive = HttpUtil.isKeepAlive(request) && this.refusalStatus != BAD_REQUEST;
		this.receivedAtNanos = receivedAtNanos;
		this.size = OBJECT_BYTES + headLength() + this.content.body().length;
	}

	private int headLength() {
		int length = this.content.uri().length();
		for (Map.Entry<String, String> header : this.content.headers()) {
			length += header.getKey().length() + header.getValue().length();
		}
		return length;
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
		return this.size;
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
