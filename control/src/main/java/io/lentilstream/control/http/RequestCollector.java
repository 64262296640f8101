package io.lentilstream.control.http;

import java.util.Optional;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;

import io.lentilstream.control.limits.DecodingRateLimit;

/**
 * Collects the parts of requests. A request that is refused is passed on like the others,
 * since its response must not overtake those to earlier ones, and is the last of its
 * connection.
 */
final class RequestCollector extends ChannelInboundHandlerAdapter {

	private static final int BAD_REQUEST = 400;

	private static final int TOO_LARGE = 413;

	private static final int EXPECTATION_FAILED = 417;

	private static final int FIELDS_TOO_LARGE = 431;

	private final int maxBodyBytes;

	private final BodyBuffer body = new BodyBuffer();

	/** The head of the request that is being received; {@code null} if there is none. */
	private HttpRequest head;

	private final DecodingRateLimit rate;

	/** Whether the rest of what the client sends is ignored. */
	private boolean refused;

	/** The parts that have been decoded since the last pause. */
	private int parts;

	RequestCollector(int maxBodyBytes, DecodingRateLimit rate) {
		this.maxBodyBytes = maxBodyBytes;
		this.rate = rate;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.parts++;
		this.rate.decoded();
		if (pauseDue()) {
			// Ends the series of reads.
			context.channel().config().setAutoRead(false);
		}
		try {
			if (!this.refused && message instanceof HttpRequest request) {
				begin(context, request);
			}
			if (this.head != null && message instanceof HttpContent part) {
				append(context, part);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void begin(ChannelHandlerContext context, HttpRequest request) {
		this.head = request;
		if (request.decoderResult().isFailure()) {
			refuse(context, (request.decoderResult().cause() instanceof TooLongHttpHeaderException) ? FIELDS_TOO_LARGE
					: BAD_REQUEST);
		}
		else if (HttpUtil.getContentLength(request, 0L) > this.maxBodyBytes) {
			refuse(context, TOO_LARGE);
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
		else if (request.headers().contains(HttpHeaderNames.EXPECT)) {
			refuse(context, EXPECTATION_FAILED);
		}
	}

	private void append(ChannelHandlerContext context, HttpContent part) {
		if (part.decoderResult().isFailure()) {
			refuse(context, (part.decoderResult().cause() instanceof TooLongHttpHeaderException) ? FIELDS_TOO_LARGE
					: BAD_REQUEST);
			return;
		}
		if (this.body.size() + part.content().readableBytes() > this.maxBodyBytes) {
			refuse(context, TOO_LARGE);
			return;
		}
		this.body.append(part.content(), context.alloc());
		if (part instanceof LastHttpContent) {
			ReceivedRequest request = ReceivedRequest.complete(this.head, this.body.toBytes());
			reset();
			context.fireChannelRead(request);
		}
	}

	private void refuse(ChannelHandlerContext context, int status) {
		ReceivedRequest request = ReceivedRequest.refused(this.head, HttpHandler.Response.of(status));
		reset();
		this.refused = true;
		context.fireChannelRead(request);
	}

	/**
	 * Frees what has been received of a request, and ignores the rest of what the client
	 * sends.
	 * @param response the response to the request
	 * @return the refused request, or empty if none has been received in part
	 */
	Optional<ReceivedRequest> abandon(HttpHandler.Response response) {
		Optional<ReceivedRequest> request = Optional.ofNullable(this.head)
			.map((received) -> ReceivedRequest.refused(received, response));
		reset();
		this.refused = true;
		return request;
	}

	private void reset() {
		this.head = null;
		this.body.release();
	}

	/**
	 * Returns whether the connection has sent so many parts that others come first.
	 * @return {@code true} if it should not be read for now
	 */
	boolean pauseDue() {
		return this.parts > DecodingRateLimit.FEW_PARTS && this.rate.exhausted();
	}

	void resetParts() {
		this.parts = 0;
	}

	/**
	 * Returns whether a request has been received in part.
	 * @return {@code true} if its head is complete
	 */
	boolean receiving() {
		return this.head != null;
	}

	int heldBytes() {
		return this.body.heldBytes();
	}

	@Override
	public void handlerRemoved(ChannelHandlerContext context) {
		this.body.release();
	}

}
