package io.lentilstream.control.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import io.lentilstream.control.Invariants;

/**
 * Is one connection of a lane, with at most one call in flight.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

	private final HttpLane lane;

	private Channel channel;

	private HttpLane.Pending current;

	HttpConnection(HttpLane lane) {
		this.lane = lane;
	}

	void attach(Channel opened) {
		this.channel = opened;
	}

	boolean idle() {
		return this.current == null && this.channel.isActive();
	}

	long busySince() {
		return (this.current != null) ? this.current.since : this.lane.now();
	}

	void send(HttpLane.Pending pending) {
		this.current = pending;
		HttpCall call = pending.call;
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(),
				Unpooled.wrappedBuffer(call.body()));
		request.headers().set(HttpHeaderNames.HOST, this.lane.address().getAddress().getHostAddress());
		if (call.body().length > 0) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		}
		call.headers().forEach((name, value) -> request.headers().set(name, value));
		this.channel.writeAndFlush(request);
	}

	/**
	 * Gives the connection up. A call in flight gets no answer.
	 * @param reason why
	 */
	void fail(String reason) {
		HttpLane.Pending pending = this.current;
		this.current = null;
		this.channel.close();
		this.lane.broken(this);
		if (pending != null) {
			pending.finish(new HttpReply.NoAnswer(reason));
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
		HttpLane.Pending pending = this.current;
		this.current = null;
		boolean keep = HttpUtil.isKeepAlive(response) && pending != null;
		if (!keep) {
			this.channel.close();
			this.lane.broken(this);
		}
		if (pending != null) {
			byte[] body = ByteBufUtil.getBytes(response.content());
			pending.finish(new HttpReply.Answer(response.status().code(), response.headers(), body));
		}
		this.lane.freed();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.channel != null) {
			fail("connection closed");
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		Invariants.check(cause);
		if (this.channel != null) {
			fail("connection failed: " + cause.getMessage());
		}
		else {
			context.close();
		}
	}

}
