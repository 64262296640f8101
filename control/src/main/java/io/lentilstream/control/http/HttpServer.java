package io.lentilstream.control.http;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;

import io.lentilstream.control.AcceptFailureHandler;
import io.lentilstream.control.limits.ClientLimits;
import io.lentilstream.control.shutdown.GracefulShutdown;

/**
 * An HTTP server. All methods must be called on the event loop.
 */
public final class HttpServer implements GracefulShutdown.Server {

	private static final int BACKLOG = 1024;

	private static final int MIN_READ_BYTES = 512;

	private static final int FIRST_READ_BYTES = 2048;

	private static final int MAX_READ_BYTES = 8192;

	/** How often a connection is read at most before others are. */
	private static final int MAX_READS = 4;

	private final HttpHandler handler;

	private final int maxBodyBytes;

	private final ClientLimits limits;

	private final Set<ClientConnection> connections = new HashSet<>();

	private Channel serverChannel;

	private boolean draining;

	/**
	 * Creates a server that is not listening yet, with default limits of its own.
	 * @param handler handles the requests
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 */
	public HttpServer(HttpHandler handler, int maxBodyBytes) {
		this(handler, maxBodyBytes, ClientLimits.withDefaults());
	}

	/**
	 * Creates a server that is not listening yet.
	 * @param handler handles the requests
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 * @param limits the limits that all listeners of the process share
	 */
	public HttpServer(HttpHandler handler, int maxBodyBytes, ClientLimits limits) {
		this.handler = handler;
		this.maxBodyBytes = maxBodyBytes;
		this.limits = limits;
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
			// A client that sends little at a time keeps the buffer of its last read.
			.childOption(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
						.maxMessagesPerRead(MAX_READS))
			// A client that has sent its last request still reads the responses.
			.childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					RequestDecoder decoder = new RequestDecoder();
					RequestCollector collector = new RequestCollector(HttpServer.this.maxBodyBytes,
							HttpServer.this.limits.decoding());
					channel.pipeline()
						.addLast(decoder, new HttpResponseEncoder(), collector,
								new ClientConnection(HttpServer.this.handler, new Connections(), decoder, collector,
										HttpServer.this.limits));
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
		return this.connections.stream().allMatch(ClientConnection::responsesSent);
	}

	/**
	 * The connections of this server.
	 */
	private final class Connections implements ClientConnection.Owner {

		@Override
		public void opened(ClientConnection connection) {
			HttpServer.this.connections.add(connection);
		}

		@Override
		public void closed(ClientConnection connection) {
			HttpServer.this.connections.remove(connection);
		}

		@Override
		public boolean draining() {
			return HttpServer.this.draining;
		}

	}

}
