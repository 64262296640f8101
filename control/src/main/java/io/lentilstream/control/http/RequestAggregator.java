package io.lentilstream.control.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * The decoder of whole requests. Those that are too large are passed on without their
 * body as failed, since a response from here would overtake those to earlier requests.
 */
final class RequestAggregator extends HttpObjectAggregator {

	RequestAggregator(int maxBodyBytes) {
		super(maxBodyBytes);
	}

	@Override
	protected Object newContinueResponse(HttpMessage start, int maxBodyBytes, ChannelPipeline pipeline) {
		return isContentLengthInvalid(start, maxBodyBytes) ? null
				: super.newContinueResponse(start, maxBodyBytes, pipeline);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
		HttpRequest head = (HttpRequest) oversized;
		FullHttpRequest failed = new DefaultFullHttpRequest(head.protocolVersion(), head.method(), head.uri(),
				Unpooled.EMPTY_BUFFER);
		failed.headers().set(head.headers());
		failed.setDecoderResult(DecoderResult.failure(new TooLongHttpContentException("body is too large")));
		// It is not known whether the rest of the body follows.
		if (oversized instanceof FullHttpMessage || HttpUtil.is100ContinueExpected(oversized)) {
			HttpUtil.setKeepAlive(failed, false);
		}
		context.fireChannelRead(failed);
	}

}
