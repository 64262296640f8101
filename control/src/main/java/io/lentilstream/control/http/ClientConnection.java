package io.lentilstream.control.http;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import io.lentilstream.control.FatalErrors;
import io.lentilstream.control.limits.ClientLimits;
import io.lentilstream.control.limits.ClientMemory;
import io.lentilstream.control.limits.ConnectionLimit;

/**
 * A connection from a client. Its requests are handled one at a time, and further ones
 * that have been received wait, since responses must not overtake each other. All methods
 * must be called on the event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<ReceivedRequest>
		implements ClientMemory.Client, ConnectionLimit.Connection {

	/**
	 * The size of the requests that wait behind another from which on a connection is not
	 * read, in bytes.
	 */
	private static final int MAX_WAITING_BYTES = 65_536;

	/** How many requests of a connection are handled before others have their turn. */
	private static final int MAX_HANDLED_AT_ONCE = 16;

	/** The memory that a connection takes without any request, in bytes. */
	private static final int CONNECTION_BYTES = 6144;

	/**
	 * How long a connection is kept after its last response for a client that does not
	 * close it, in milliseconds.
	 */
	private static final long MAX_LINGER_MILLIS = 500;

	private static final HttpHandler.Response TOO_BUSY = new HttpHandler.Response(HttpHandler.UNAVAILABLE, new byte[0],
			HttpHandler.RETRY_AFTER_SECONDS);

	private final HttpHandler handler;

	private final Owner owner;

	private final RequestDecoder decoder;

	private final RequestCollector collector;

	private final ClientLimits limits;

	private final Deque<ReceivedRequest> waiting = new ArrayDeque<>();

	private ClientMemory.Share share;

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

	/** Whether the connection is not read until others had their turn. */
	private boolean paused;

	ClientConnection(HttpHandler handler, Owner owner, RequestDecoder decoder, RequestCollector collector,
			ClientLimits limits) {
		this.handler = handler;
		this.owner = owner;
		this.decoder = decoder;
		this.collector = collector;
		this.limits = limits;
	}

	@Override
	public void channelActive(ChannelHandlerContext handlerContext) {
		this.context = handlerContext;
		this.owner.opened(this);
		this.share = this.limits.memory().open(this);
		this.share.update(CONNECTION_BYTES, 0);
		this.limits.connections().opened(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext handlerContext) {
		this.owner.closed(this);
		this.limits.connections().closed(this);
		this.waiting.clear();
		this.share.close();
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
	protected void channelRead0(ChannelHandlerContext handlerContext, ReceivedRequest request) {
		if (this.closing) {
			return;
		}
		this.waiting.add(request);
		this.waitingBytes += request.size();
		if (this.waitingBytes >= MAX_WAITING_BYTES) {
			handlerContext.channel().config().setAutoRead(false);
		}
	}

	// Not for each request, since the last response of a draining connection must not be
	// given before all that has arrived is read.
	@Override
	public void channelReadComplete(ChannelHandlerContext handlerContext) {
		this.limits.connections().used(this);
		if (this.collector.pauseDue()) {
			pause();
		}
		this.collector.resetParts();
		dispatch();
	}

	private void pause() {
		if (!this.paused) {
			this.paused = true;
			this.limits.decoding().pause(this.context.channel().eventLoop(), () -> {
				this.paused = false;
				updateAutoRead();
			});
		}
	}

	private void updateAutoRead() {
		boolean wanted = this.closing || this.waitingBytes < MAX_WAITING_BYTES;
		this.context.channel().config().setAutoRead(wanted && !this.paused);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
		dispatch();
	}

	// A loop, since requests that are answered at once would otherwise nest.
	private void dispatch() {
		if (this.dispatching) {
			return;
		}
		this.dispatching = true;
		int handled = 0;
		// A client that does not read its responses gets no more of them.
		while (this.current == null && !this.waiting.isEmpty() && !this.closing
				&& this.context.channel().isWritable()) {
			if (handled == MAX_HANDLED_AT_ONCE) {
				this.context.channel().eventLoop().execute(this::dispatch);
				break;
			}
			handled++;
			this.current = this.waiting.poll();
			this.waitingBytes -= this.current.size();
			handle(this.current);
		}
		if (this.closing) {
			clearWaiting();
		}
		this.dispatching = false;
		updateAutoRead();
		updateShare();
	}

	private void clearWaiting() {
		this.waiting.clear();
		this.waitingBytes = 0;
	}

	private void handle(ReceivedRequest request) {
		Optional<HttpHandler.Response> refusal = request.refusal();
		if (refusal.isPresent()) {
			respond(request, refusal.get());
			return;
		}
		updateShare();
		if (!this.share.beginHandling(request.handlingBytes())) {
			respond(request, TOO_BUSY);
			return;
		}
		this.handler.handle(request.content(), (response) -> {
			this.share.endHandling();
			if (!request.abandoned()) {
				respond(request, response);
			}
		});
		request.releaseContent();
	}

	private void respond(ReceivedRequest request, HttpHandler.Response response) {
		if (this.current != request) {
			throw new IllegalStateException("request was answered twice");
		}
		this.current = null;
		boolean ending = this.owner.draining() || this.inputClosed;
		send(request, response, !request.keepAlive() || ending && this.waiting.isEmpty());
		dispatch();
	}

	private void send(ReceivedRequest request, HttpHandler.Response response, boolean last) {
		boolean headOnly = request.content().method().equals(HttpMethod.HEAD);
		ByteBuf body = headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(response.body());
		FullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(response.status()), body);
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
		updateAutoRead();
		channel.eventLoop().schedule(() -> channel.close(), MAX_LINGER_MILLIS, TimeUnit.MILLISECONDS);
	}

	int answerUnfinished() {
		List<ReceivedRequest> requests = unanswered();
		this.current = null;
		clearWaiting();
		for (int i = 0; i < requests.size() && !this.closing; i++) {
			ReceivedRequest request = requests.get(i);
			request.abandon();
			HttpHandler.Response response = request.refusal()
				.orElseGet(() -> this.handler.unfinished(request.content()));
			send(request, response, !request.keepAlive() || i == requests.size() - 1);
		}
		return requests.size();
	}

	List<ReceivedRequest> unanswered() {
		List<ReceivedRequest> requests = new ArrayList<>(this.waiting);
		if (this.current != null) {
			requests.add(0, this.current);
		}
		return requests;
	}

	boolean responsesSent() {
		return this.unsentResponses == 0;
	}

	// A request may have arrived since the event loop last read.
	void closeIfIdle() {
		if (this.context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
			unsafe.read();
		}
		if (this.current == null && this.waiting.isEmpty() && !this.closing) {
			this.context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
		}
	}

	private void updateShare() {
		ChannelOutboundBuffer outbound = this.context.channel().unsafe().outboundBuffer();
		long unsent = (outbound != null) ? outbound.totalPendingWriteBytes() : 0;
		this.share.update(CONNECTION_BYTES,
				this.decoder.heldBytes() + this.collector.heldBytes() + this.waitingBytes + unsent);
	}

	// Requests that wait have not run and never will, as the refusal says.
	@Override
	public void shed() {
		boolean unread = !this.context.channel().isWritable();
		boolean onlyHandling = this.waiting.isEmpty() && !this.collector.receiving();
		if (unread || this.closing || onlyHandling && this.current == null) {
			this.context.close();
			this.share.update(CONNECTION_BYTES, 0);
			return;
		}
		if (onlyHandling) {
			return;
		}
		this.collector.abandon(TOO_BUSY).ifPresent(this.waiting::add);
		List<ReceivedRequest> refused = new ArrayList<>(this.waiting);
		clearWaiting();
		for (int i = 0; i < refused.size(); i++) {
			ReceivedRequest request = refused.get(i).refused(TOO_BUSY, i == refused.size() - 1);
			this.waiting.add(request);
			this.waitingBytes += request.size();
		}
		dispatch();
	}

	@Override
	public boolean closeUnlessHandling() {
		if (this.current != null && !this.closing) {
			return false;
		}
		this.context.close();
		return true;
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
		FatalErrors.haltIfFatal(cause);
		handlerContext.close();
	}

	/**
	 * The server of a connection.
	 */
	interface Owner {

		void opened(ClientConnection connection);

		void closed(ClientConnection connection);

		/**
		 * Returns whether connections close after their next response.
		 * @return {@code true} while the process stops
		 */
		boolean draining();

	}

}
