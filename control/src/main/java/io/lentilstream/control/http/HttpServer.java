package io.lentilstream.control.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;

import io.lentilstream.control.AcceptFailureHandler;
import io.lentilstream.control.FatalErrors;
import io.lentilstream.control.shutdown.GracefulShutdown;

/**
 * An HTTP server. All methods must be called on the event loop.
 */
public final class HttpServer implements GracefulShutdown.Server {

	private static final int BACKLOG = 1024;

	private static final int MAX_REQUEST_LINE_BYTES = 8192;

	private static final int MAX_HEADER_BYTES = 16_384;

	private static final int MAX_CHUNK_BYTES = 8192;

	/**
	 * The maximum size of all bodies that are being received, in bytes. Their buffers are
	 * larger than what they hold.
	 */
	private static final long MAX_RECEIVED_BYTES = 32L << 20;

	/**
	 * The size of the requests that wait behind another from which on a connection is not
	 * read, in bytes.
	 */
	private static final int MAX_WAITING_BYTES = 65_536;

	/**
	 * How long a connection is kept after its last response for a client that does not
	 * close it, in milliseconds.
	 */
	private static final long MAX_LINGER_MILLIS = 500;

	private final HttpHandler handler;

	private final int maxBodyBytes;

	private final ReceivedBytesLimit receivedBytes = new ReceivedBytesLimit(MAX_RECEIVED_BYTES);

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
			.handler(new AcceptFailureHandler())
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			// A client that has sent its last request still reads the responses.
			.childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
								HttpServer.this.receivedBytes.newHandler(),
								new RequestAggregator(HttpServer.this.maxBodyBytes), new ClientConnection());
				}
			});
		this.serverChannel = bootstrap.bind(address).sync().channel();
	}

	/**
	 * Closes each connection after its next response from now on, so that callers look
	 * for another server while this one still answers.
	 */
	@Override
	public void closeAfterResponses() {
		this.draining = true;
	}

	/**
	 * Stops listening, and closes idle connections. Requests that have been received are
	 * still answered.
	 */
	@Override
	public void stop() {
		this.draining = true;
		if (this.serverChannel != null) {
			this.serverChannel.close();
		}
		List.copyOf(this.connections).forEach(ClientConnection::closeIfIdle);
	}

	/**
	 * Answers all requests that have been received, whatever they wait for. Responses
	 * that are given later are ignored.
	 * @return the number of requests
	 */
	@Override
	public int answerUnfinished() {
		this.draining = true;
		int count = 0;
		for (ClientConnection connection : List.copyOf(this.connections)) {
			count += connection.answerUnfinished();
		}
		return count;
	}

	/**
	 * Returns the requests that have no response yet.
	 * @return their number, and the oldest
	 */
	@Override
	public RequestsInFlight inFlight() {
		RequestsInFlight found = RequestsInFlight.NONE;
		for (ClientConnection connection : this.connections) {
			for (ReceivedRequest received : connection.unanswered()) {
				found = found.with(System.nanoTime() - received.receivedAtNanos(), received.description());
			}
		}
		return found;
	}

	/**
	 * Returns whether all responses have been handed to the operating system.
	 * @return {@code false} if a response waits for a caller that does not read
	 */
	@Override
	public boolean responsesSent() {
		return this.connections.stream().allMatch((connection) -> connection.unsentResponses == 0);
	}

	/**
	 * A connection from a client. Its requests are handled one at a time, and further
	 * ones that have been received wait, since responses must not overtake each other.
	 */
	private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Deque<ReceivedRequest> waiting = new ArrayDeque<>();

		private ChannelHandlerContext context;

		/** The request that is handled; {@code null} if there is none. */
		private ReceivedRequest current;

		private boolean dispatching;

		private int waitingBytes;

		/** Whether the client sends no more requests. */
		private boolean inputClosed;

		/** Whether the last response of this connection has been given. */
		private boolean closing;

		private int unsentResponses;

		@Override
		public void channelActive(ChannelHandlerContext handlerContext) {
			this.context = handlerContext;
			HttpServer.this.connections.add(this);
		}

		@Override
		public void channelInactive(ChannelHandlerContext handlerContext) {
			HttpServer.this.connections.remove(this);
			this.waiting.clear();
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext handlerContext, Object event) {
			if (!(event instanceof ChannelInputShutdownEvent)) {
				return;
			}
			this.inputClosed = true;
			closeIfAnswered();
		}

		@Override
		protected void channelRead0(ChannelHandlerContext handlerContext, FullHttpRequest request) {
			if (!this.closing) {
				ReceivedRequest received = new ReceivedRequest(request, System.nanoTime());
				this.waiting.add(received);
				this.waitingBytes += received.size();
			}
		}

		// Not for each request, since the last response of a draining connection must not
		// be given before all that has arrived is read.
		@Override
		public void channelReadComplete(ChannelHandlerContext handlerContext) {
			dispatch();
		}

		// A loop, since requests that are answered at once would otherwise nest.
		private void dispatch() {
			if (this.dispatching) {
				return;
			}
			this.dispatching = true;
			while (this.current == null && !this.waiting.isEmpty() && !this.closing) {
				this.current = this.waiting.poll();
				this.waitingBytes -= this.current.size();
				handle(this.current);
			}
			if (this.closing) {
				this.waiting.clear();
			}
			this.dispatching = false;
			this.context.channel().config().setAutoRead(this.closing || this.waitingBytes < MAX_WAITING_BYTES);
		}

		private void handle(ReceivedRequest request) {
			Optional<HttpHandler.Response> refusal = request.refusal();
			if (refusal.isPresent()) {
				respond(request, refusal.get());
				return;
			}
			HttpServer.this.handler.handle(request.content(), (response) -> {
				if (!request.abandoned()) {
					respond(request, response);
				}
			});
		}

		private void respond(ReceivedRequest request, HttpHandler.Response response) {
			if (this.current != request) {
				throw new IllegalStateException("request was answered twice");
			}
			this.current = null;
			boolean ending = HttpServer.this.draining || this.inputClosed;
			send(response, !request.keepAlive() || ending && this.waiting.isEmpty());
			dispatch();
		}

		private void send(HttpHandler.Response response, boolean last) {
			FullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
			message.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
			if (response.body().length > 0) {
				message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
			}
			if (response.retryAfterSeconds() > 0) {
				message.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfterSeconds());
			}
			if (last) {
				message.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
				this.closing = true;
			}
			this.unsentResponses++;
			this.context.writeAndFlush(message).addListener((written) -> {
				this.unsentResponses--;
				if (last) {
					closeOnceRead();
				}
				else if (this.inputClosed) {
					closeIfAnswered();
				}
			});
		}

		private void closeIfAnswered() {
			if (unanswered().isEmpty() && this.unsentResponses == 0) {
				this.context.close();
			}
		}

		// Closing a connection with bytes that were not read resets it, and a reset can
		// discard the last response on its way.
		private void closeOnceRead() {
			SocketChannel channel = (SocketChannel) this.context.channel();
			if (this.inputClosed) {
				channel.close();
				return;
			}
			channel.shutdownOutput();
			channel.config().setAutoRead(true);
			channel.eventLoop().schedule(() -> channel.close(), MAX_LINGER_MILLIS, TimeUnit.MILLISECONDS);
		}

		private int answerUnfinished() {
			List<ReceivedRequest> requests = unanswered();
			this.current = null;
			this.waiting.clear();
			for (int i = 0; i < requests.size() && !this.closing; i++) {
				ReceivedRequest request = requests.get(i);
				request.abandon();
				HttpHandler.Response response = request.refusal()
					.orElseGet(() -> HttpServer.this.handler.unfinished(request.content()));
				send(response, !request.keepAlive() || i == requests.size() - 1);
			}
			return requests.size();
		}

		private List<ReceivedRequest> unanswered() {
			List<ReceivedRequest> requests = new ArrayList<>(this.waiting);
			if (this.current != null) {
				requests.add(0, this.current);
			}
			return requests;
		}

		// A request may have arrived since the event loop last read.
		private void closeIfIdle() {
			if (this.context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
				unsafe.read();
			}
			if (this.current == null && this.waiting.isEmpty() && !this.closing) {
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
