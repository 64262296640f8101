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

/**
 * Makes calls to one server over few connections. A further connection is opened only
 * when the present ones have been busy for a while, since connections are dear. All
 * methods are called on the event loop.
 */
public final class HttpLane {

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

	/** How long the connections must have been busy before another is opened. */
	private static final long BUSY_MILLIS = 30;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	private final InetSocketAddress address;

	private final int maxConnections;

	private final List<HttpConnection> connections = new ArrayList<>();

	private final ArrayDeque<Pending> queue = new ArrayDeque<>();

	private int connecting;

	private boolean closed;

	/**
	 * Creates a lane without connections.
	 * @param loop the event loop
	 * @param group the group of the event loop
	 * @param address the server
	 * @param maxConnections the largest number of connections
	 */
	public HttpLane(EventLoop loop, EventLoopGroup group, InetSocketAddress address, int maxConnections) {
		this.loop = loop;
		this.address = address;
		this.maxConnections = maxConnections;
		this.bootstrap = new Bootstrap().group(group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
	}

	/**
	 * Makes a call. Calls wait for a free connection in order.
	 * @param call the call
	 * @param reply gets the outcome, once
	 */
	public void call(HttpCall call, Consumer<HttpReply> reply) {
		if (this.closed) {
			reply.accept(new HttpReply.NotSent("closed"));
			return;
		}
		Pending pending = new Pending(call, reply, this.loop.now());
		pending.timeout = this.loop.after(call.timeoutMillis(), () -> expire(pending));
		this.queue.add(pending);
		pump();
	}

	/**
	 * Closes all connections. Calls in flight get no answer.
	 */
	public void close() {
		this.closed = true;
		List.copyOf(this.connections).forEach((connection) -> connection.fail("closed"));
		failQueue("closed");
	}

	private void pump() {
		while (!this.queue.isEmpty()) {
			HttpConnection idle = idle();
			if (idle == null) {
				break;
			}
			Pending next = this.queue.poll();
			next.connection = idle;
			idle.send(next);
		}
		if (this.queue.isEmpty() || this.connecting > 0 || this.connections.size() >= this.maxConnections) {
			return;
		}
		if (this.connections.isEmpty() || busyFor() >= BUSY_MILLIS) {
			connect();
		}
		else {
			this.loop.after(BUSY_MILLIS, this::pump);
		}
	}

	private HttpConnection idle() {
		for (HttpConnection connection : this.connections) {
			if (connection.idle()) {
				return connection;
			}
		}
		return null;
	}

	private long busyFor() {
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
					.addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER_BYTES), connection);
			}
		});
		client.connect(this.address).addListener((ChannelFuture future) -> connected(connection, future));
	}

	private void connected(HttpConnection connection, ChannelFuture future) {
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
		connection.attach(channel);
		this.connections.add(connection);
		pump();
	}

	private void failQueue(String reason) {
		List<Pending> failed = List.copyOf(this.queue);
		this.queue.clear();
		failed.forEach((pending) -> pending.finish(new HttpReply.NotSent(reason)));
	}

	private void expire(Pending pending) {
		if (this.queue.remove(pending)) {
			pending.finish(new HttpReply.NotSent("no connection in time"));
		}
		else if (pending.connection != null) {
			pending.connection.fail("no answer in time");
		}
	}

	void freed() {
		pump();
	}

	void broken(HttpConnection connection) {
		this.connections.remove(connection);
		pump();
	}

	long now() {
		return this.loop.now();
	}

	InetSocketAddress address() {
		return this.address;
	}

	/**
	 * A call that was not answered yet.
	 */
	static final class Pending {

		final HttpCall call;

		final long since;

		HttpConnection connection;

		private final Consumer<HttpReply> reply;

		private Runnable timeout;

		Pending(HttpCall call, Consumer<HttpReply> reply, long since) {
			this.call = call;
			this.reply = reply;
			this.since = since;
		}

		void finish(HttpReply outcome) {
			this.timeout.run();
			this.reply.accept(outcome);
		}

	}

}
