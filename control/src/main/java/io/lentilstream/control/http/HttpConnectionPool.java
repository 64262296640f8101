package io.lentilstream.control.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.FatalErrors;

/**
 * A pool of connections to one server. Another connection is opened only if the existing
 * ones have been busy for a while, since connections are expensive. All methods must be
 * called on the event loop.
 */
public final class HttpConnectionPool {

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

	/**
	 * How long all connections must be busy before another is opened, in milliseconds.
	 */
	private static final long BUSY_BEFORE_OPENING_MILLIS = 30;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	private final InetSocketAddress address;

	private final int maxConnections;

	private final List<HttpConnection> connections = new ArrayList<>();

	private final ArrayDeque<PendingCall> queue = new ArrayDeque<>();

	private final ResponseTimeoutRule responseTimeout = new ResponseTimeoutRule();

	private int connecting;

	private boolean closed;

	/**
	 * Creates a pool without connections.
	 * @param loop the event loop
	 * @param group the group of the event loop
	 * @param address the address of the server
	 * @param maxConnections the maximum number of connections
	 */
	public HttpConnectionPool(EventLoop loop, EventLoopGroup group, InetSocketAddress address, int maxConnections) {
		this.loop = loop;
		this.address = address;
		this.maxConnections = maxConnections;
		this.bootstrap = new Bootstrap().group(group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
	}

	/**
	 * Makes a call. Calls wait for a free connection in first-in, first-out order.
	 * @param call the call
	 * @param callback receives the result, once
	 */
	public void call(HttpCall call, Consumer<HttpResult> callback) {
		if (this.closed) {
			callback.accept(new HttpResult.NotSent("closed"));
			return;
		}
		PendingCall pending = new PendingCall(call, callback, this.loop.now());
		pending.timeout = this.loop.schedule(call.timeoutMillis(), () -> timeOut(pending));
		this.queue.add(pending);
		dispatch();
	}

	/**
	 * Closes all connections. Calls in flight complete without a response, and queued
	 * calls are not sent.
	 */
	public void close() {
		this.closed = true;
		List.copyOf(this.connections).forEach((connection) -> connection.fail("closed"));
		failQueue("closed");
	}

	private void dispatch() {
		while (!this.queue.isEmpty()) {
			HttpConnection idle = idleConnection();
			if (idle == null) {
				break;
			}
			PendingCall next = this.queue.poll();
			next.connection = idle;
			idle.send(next);
		}
		if (this.queue.isEmpty() || this.connecting > 0 || this.connections.size() >= this.maxConnections) {
			return;
		}
		if (this.connections.isEmpty() || leastBusyMillis() >= BUSY_BEFORE_OPENING_MILLIS) {
			connect();
		}
		else {
			this.loop.schedule(BUSY_BEFORE_OPENING_MILLIS, this::dispatch);
		}
	}

	private HttpConnection idleConnection() {
		for (HttpConnection connection : this.connections) {
			if (connection.idle()) {
				return connection;
			}
		}
		return null;
	}

	private long leastBusyMillis() {
		long now = this.loop.now();
		long least = Long.MAX_VALUE;
		for (HttpConnection connection : this.connections) {
			least = Math.min(least, now - connection.busySince());
		}
		return least;
	}

	private void connect() {
		this.connecting++;
		HttpConnection connection = new HttpConnection(this);
		Bootstrap client = this.bootstrap.clone().handler(new ChannelInitializer<SocketChannel>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(connection.progress(), new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES),
							connection);
			}
		});
		client.connect(this.address)
			.addListener((ChannelFuture future) -> FatalErrors.runChecked(() -> connectCompleted(connection, future)));
	}

	private void connectCompleted(HttpConnection connection, ChannelFuture future) {
		this.connecting--;
		if (!future.isSuccess()) {
			if (this.connections.isEmpty()) {
				failQueue("connection failed: " + future.cause().getMessage());
			}
			return;
		}
		Channel channel = future.channel();
		if (this.closed) {
			channel.close();
			return;
		}
		connection.setChannel(channel);
		this.connections.add(connection);
		dispatch();
	}

	private void failQueue(String reason) {
		List<PendingCall> failed = List.copyOf(this.queue);
		this.queue.clear();
		failed.forEach((pending) -> pending.complete(new HttpResult.NotSent(reason)));
	}

	private void timeOut(PendingCall pending) {
		if (this.queue.remove(pending)) {
			pending.complete(new HttpResult.NotSent("timed out waiting for a connection"));
			return;
		}
		HttpConnection connection = pending.connection;
		if (connection == null) {
			return;
		}
		long now = this.loop.now();
		long deadline = this.responseTimeout.deadline(connection.sentAt(), connection.progress());
		if (now < deadline) {
			pending.timeout = this.loop.schedule(deadline - now, () -> timeOut(pending));
			return;
		}
		// First, since the callback of the call may make another one at once.
		closeIdleConnectionsSilentSince(connection.sentAt());
		connection.fail(connection.progress().describeTimeout(now));
	}

	// Connections often go silent together. Calls that find out one after the other take
	// longer than the lease of a leader.
	private void closeIdleConnectionsSilentSince(long millis) {
		for (HttpConnection connection : List.copyOf(this.connections)) {
			if (connection.idle() && connection.lastResponseAt() <= millis) {
				connection.fail("another connection gave no response");
			}
		}
	}

	void connectionFreed() {
		dispatch();
	}

	void connectionClosed(HttpConnection connection) {
		this.connections.remove(connection);
		dispatch();
	}

	long now() {
		return this.loop.now();
	}

	InetSocketAddress address() {
		return this.address;
	}

	/**
	 * A call that has not completed yet.
	 */
	static final class PendingCall {

		final HttpCall call;

		final long queuedAt;

		HttpConnection connection;

		private final Consumer<HttpResult> callback;

		private Runnable timeout;

		PendingCall(HttpCall call, Consumer<HttpResult> callback, long queuedAt) {
			this.call = call;
			this.callback = callback;
			this.queuedAt = queuedAt;
		}

		void complete(HttpResult outcome) {
			this.timeout.run();
			this.callback.accept(outcome);
		}

	}

}
