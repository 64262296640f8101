package io.lentilstream.control.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.flow.FlowControlHandler;

import io.lentilstream.control.FatalErrors;

/**
 * An HTTP server. All methods must be called on the event loop.
 */
public final class HttpServer {

	private static final int BACKLOG = 1024;

	private static final int MAX_REQUEST_LINE_BYTES = 8192;

	private static final int MAX_HEADER_BYTES = 16_384;

	private static final int MAX_CHUNK_BYTES = 8192;

	private static final int BAD_REQUEST = 400;

	private final HttpHandler handler;

	private final int maxBodyBytes;

	private final Set<ClientConnection> connections = new HashSet<>();

	private Channel serverChannel;

	private boolean draining;

	/**
	 * Creates a server that is not listening yet.
	 * @param handler handles the requests
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 */
	public HttpServer(HttpHandler handler, int maxBodyBytes) {
		this.handler = handler;
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Starts listening.
	 * @param group the group of the event loop
	 * @param address the address to listen on
	 * @throws InterruptedException if interrupted while binding the address
	 */
	public void listen(EventLoopGroup group, InetSocketAddress address) throws InterruptedException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
								new HttpObjectAggregator(HttpServer.this.maxBodyBytes), new FlowControlHandler(),
								new ClientConnection());
				}
			});
		this.serverChannel = bootstrap.bind(address).sync().channel();
	}

	/**
	 * Drains the connections: idle ones close now, others after their next response.
	 */
	public void drain() {
		this.draining = true;
		List.copyOf(this.connections).forEach(ClientConnection::closeIfIdle);
	}

	/**
	 * Stops listening, and drains the connections.
	 */
	public void stop() {
		if (this.serverChannel != null) {
			this.serverChannel.close();
		}
		drain();
	}

	/**
	 * Returns the requests that have no response yet.
	 * @return their number, and the oldest
	 */
	public RequestsInFlight inFlight() {
		RequestsInFlight found = RequestsInFlight.NONE;
		for (ClientConnection connection : this.connections) {
			if (connection.busy) {
				found = found.with(System.nanoTime() - connection.receivedAt, connection.description);
			}
		}
		return found;
	}

	/**
	 * A connection from a client. Its requests are handled one at a time: further ones
	 * that have been received already wait in the {@link FlowControlHandler}.
	 */
	private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

		private ChannelHandlerContext context;

		private boolean busy;

		/** When the request that is handled was received, in {@link System#nanoTime}. */
		private long receivedAt;

		private String description;

		@Override
		public void channelActive(ChannelHandlerContext handlerContext) {
			this.context = handlerContext;
			HttpServer.this.connections.add(this);
		}

		@Override
		public void channelInactive(ChannelHandlerContext handlerContext) {
			HttpServer.this.connections.remove(this);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext handlerContext, FullHttpRequest request) {
			this.busy = true;
			this.receivedAt = System.nanoTime();
			this.description = request.method() + " " + request.uri();
			// Responses must not overtake each other on a connection.
			handlerContext.channel().config().setAutoRead(false);
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			if (request.decoderResult().isFailure()) {
				respond(HttpHandler.Response.of(BAD_REQUEST), false);
				return;
			}
			HttpHandler.Request fullRequest = new HttpHandler.Request(request.method(), request.uri(),
					request.headers().copy(), ByteBufUtil.getBytes(request.content()));
			HttpServer.this.handler.handle(fullRequest, (response) -> respond(response, keepAlive));
		}

		private void respond(HttpHandler.Response response, boolean keepAlive) {
			if (!this.busy) {
				throw new IllegalStateException("request was answered twice");
			}
			this.busy = false;
			boolean keepOpen = keepAlive && !HttpServer.this.draining;
			FullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
			message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
			if (response.body().length > 0) {
				message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
			}
			if (response.retryAfterSeconds() > 0) {
				message.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfterSeconds());
			}
			if (!keepOpen) {
				message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			this.context.writeAndFlush(message).addListener((written) -> {
				if (!keepOpen) {
					this.context.close();
				}
			});
			this.context.channel().config().setAutoRead(true);
		}

		private void closeIfIdle() {
			if (!this.busy) {
				this.context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
			FatalErrors.haltIfFatal(cause);
			handlerContext.close();
		}

	}

}
