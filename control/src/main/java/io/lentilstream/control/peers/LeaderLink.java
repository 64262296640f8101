package io.lentilstream.control.peers;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;

import io.lentilstream.control.EventLoop;
import io.lentilstream.jobs.DecisionLog;

/**
 * Keeps a connection to the leader and reports when it does not answer. All methods are
 * called on the event loop.
 */
public final class LeaderLink {

	private static final int CONNECT_TIMEOUT_MILLIS = 700;

	/** Time between two pings, in milliseconds. */
	private static final long PING_MILLIS = 500;

	/** Longest time for an answer, in milliseconds. */
	private static final long ANSWER_MILLIS = 400;

	private final EventLoop loop;

	private final EventLoopGroup group;

	private final DecisionLog log;

	private final Runnable lost;

	private final Map<Long, Consumer<Optional<PeerFrame>>> waiting = new HashMap<>();

	private InetSocketAddress leader;

	private Channel channel;

	private boolean connecting;

	private long calls;

	private int unanswered;

	/**
	 * Creates a link without a leader.
	 * @param loop the event loop
	 * @param group the group of the event loop
	 * @param log takes a line for each lost or regained connection
	 * @param lost is run when the leader is not reached, does not lead, or may have lost
	 * its lease
	 */
	public LeaderLink(EventLoop loop, EventLoopGroup group, DecisionLog log, Runnable lost) {
		this.loop = loop;
		this.group = group;
		this.log = log;
		this.lost = lost;
	}

	/**
	 * Connects to a leader.
	 * @param address where the leader takes connections
	 */
	public void connect(InetSocketAddress address) {
		if (address.equals(this.leader) && (this.connecting || connected())) {
			return;
		}
		disconnect();
		this.leader = address;
		this.connecting = true;
		new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new PeerChannel(this::received, () -> closed(address)))
			.connect(address)
			.addListener((ChannelFuture future) -> opened(address, future));
	}

	/**
	 * Closes the connection.
	 */
	public void disconnect() {
		this.leader = null;
		this.connecting = false;
		if (this.channel != null) {
			Channel closing = this.channel;
			this.channel = null;
			closing.close();
		}
		failWaiting();
	}

	/**
	 * Tells whether there is a connection.
	 * @return {@code true} if frames can be sent
	 */
	public boolean connected() {
		return this.channel != null && this.channel.isActive();
	}

	/**
	 * Sends a question.
	 * @param kind what to ask
	 * @param subject the id or name to ask about
	 * @param answer gets the answer, or empty if there is none in time
	 */
	public void ask(PeerFrame.Kind kind, String subject, Consumer<Optional<PeerFrame>> answer) {
		if (!connected()) {
			answer.accept(Optional.empty());
			return;
		}
		long call = ++this.calls;
		this.waiting.put(call, answer);
		PeerChannel.send(this.channel, PeerFrame.of(kind, call, subject));
		this.loop.after(ANSWER_MILLIS, () -> expire(call));
	}

	/**
	 * Sends a frame that is not answered, if there is a connection.
	 * @param frame the frame
	 */
	public void tell(PeerFrame frame) {
		if (connected()) {
			PeerChannel.send(this.channel, frame);
		}
	}

	private void opened(InetSocketAddress address, ChannelFuture future) {
		if (!address.equals(this.leader) || !this.connecting) {
			future.channel().close();
			return;
		}
		this.connecting = false;
		if (!future.isSuccess()) {
			this.leader = null;
			this.log.append("leader-unreachable", address, "error", future.cause().getMessage());
			this.lost.run();
			return;
		}
		this.channel = future.channel();
		this.unanswered = 0;
		this.log.append("leader-connected", address);
		ping();
	}

	private void ping() {
		Channel current = this.channel;
		if (current == null) {
			return;
		}
		ask(PeerFrame.Kind.PING, "", (answer) -> {
			if (this.channel != current) {
				return;
			}
			boolean alive = answer.filter((frame) -> frame.kind() == PeerFrame.Kind.PONG).isPresent();
			this.unanswered = alive ? 0 : this.unanswered + 1;
			if (alive && answer.get().number() == 0) {
				// The leader may have lost the store, so another one may be needed.
				this.lost.run();
			}
			if (answer.isPresent() && !alive || this.unanswered > 1) {
				InetSocketAddress former = this.leader;
				this.log.append("leader-link-lost", String.valueOf(former), "unanswered", this.unanswered);
				disconnect();
				this.lost.run();
				return;
			}
			this.loop.after(PING_MILLIS, () -> {
				if (this.channel == current) {
					ping();
				}
			});
		});
	}

	private void received(Channel from, PeerFrame frame) {
		Consumer<Optional<PeerFrame>> answer = this.waiting.remove(frame.call());
		if (answer != null) {
			answer.accept(Optional.of(frame));
		}
	}

	private void closed(InetSocketAddress address) {
		if (this.channel != null && address.equals(this.leader) && !this.channel.isActive()) {
			this.log.append("leader-link-closed", address);
			disconnect();
			this.lost.run();
		}
	}

	private void expire(long call) {
		Consumer<Optional<PeerFrame>> answer = this.waiting.remove(call);
		if (answer != null) {
			answer.accept(Optional.empty());
		}
	}

	private void failWaiting() {
		List<Consumer<Optional<PeerFrame>>> failed = List.copyOf(this.waiting.values());
		this.waiting.clear();
		failed.forEach((answer) -> answer.accept(Optional.empty()));
	}

}
