package io.lentilstream.control.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * An aggregator that passes on a request whose body is too large as malformed, without
 * its body. A response of its own would overtake those to earlier requests.
 */
final class RequestAggregator extends HttpObjectAggregator {

	private final int maxBodyBytes;

	RequestAggregator(int maxBodyBytes) {
		super(maxBodyBytes);
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
		HttpRequest request = (HttpRequest) oversized;
		DefaultFullHttpRequest withoutBody = new DefaultFullHttpRequest(request.protocolVersion(), request.method(),
				request.uri());
		withoutBody.setDecoderResult(
				DecoderResult.failure(new TooLongHttpContentException("body is over " + this.maxBodyBytes + " bytes")));
		context.fireChannelRead(withoutBody);
	}

}
