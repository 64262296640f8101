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

import io.lentilstream.control.FatalErrors;

/**
 * A connection of a pool, with at most one call in flight.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

	private final HttpConnectionPool pool;

	private Channel channel;

	private HttpConnectionPool.PendingCall current;

	private long sentAt;

	private long lastResponseAt;

	private final ResponseProgress progress;

	HttpConnection(HttpConnectionPool pool) {
		this.pool = pool;
		this.progress = new ResponseProgress(pool::now);
	}

	ResponseProgress progress() {
		return this.progress;
	}

	void setChannel(Channel opened) {
		this.channel = opened;
		this.lastResponseAt = this.pool.now();
	}

	boolean idle() {
		return this.current == null && this.channel.isActive();
	}

	long busySince() {
		return (this.current != null) ? this.current.queuedAt : this.pool.now();
	}

	long sentAt() {
		return this.sentAt;
	}

	/**
	 * Returns when the server last responded, or accepted the connection.
	 * @return the time on the steady clock, in milliseconds
	 */
	long lastResponseAt() {
		return this.lastResponseAt;
	}

	void send(HttpConnectionPool.PendingCall pending) {
		this.current = pending;
		this.sentAt = this.pool.now();
		this.progress.reset();
		HttpCall call = pending.call;
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(),
				Unpooled.wrappedBuffer(call.body()));
		request.headers().set(HttpHeaderNames.HOST, this.pool.address().getAddress().getHostAddress());
		if (call.body().length > 0) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		}
		call.headers().forEach((name, value) -> request.headers().set(name, value));
		this.channel.writeAndFlush(request);
	}

	/**
	 * Closes the connection. A call in flight completes without a response.
	 * @param reason the reason, for the log
	 */
	void fail(String reason) {
		HttpConnectionPool.PendingCall pending = this.current;
		this.current = null;
		this.channel.close();
		this.pool.connectionClosed(this);
		if (pending != null) {
			pending.complete(new HttpResult.NoResponse(reason));
		}
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
		HttpConnectionPool.PendingCall pending = this.current;
		this.current = null;
		this.lastResponseAt = this.pool.now();
		boolean keepAlive = HttpUtil.isKeepAlive(response) && pending != null;
		if (!keepAlive) {
			this.channel.close();
			this.pool.connectionClosed(this);
		}
		if (pending != null) {
			byte[] body = ByteBufUtil.getBytes(response.content());
			pending.complete(new HttpResult.Response(response.status().code(), response.headers(), body));
		}
		this.pool.connectionFreed();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.channel != null) {
			fail("connection closed");
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		FatalErrors.haltIfFatal(cause);
		if (this.channel != null) {
			fail("connection failed: " + cause.getMessage());
		}
		else {
			context.close();
		}
	}

}
