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
public final class LeaderConnection {

	private static final int CONNECT_TIMEOUT_MILLIS = 700;

	/** Time between two pings, in milliseconds. */
	private static final long PING_INTERVAL_MILLIS = 500;

	/** Longest time for an answer, in milliseconds. */
	private static final long REPLY_TIMEOUT_MILLIS = 400;

	private final EventLoop loop;

	private final EventLoopGroup group;

	private final DecisionLog log;

	private final Runnable leaderCheck;

	private final Map<Long, Consumer<Optional<PeerFrame>>> pendingReplies = new HashMap<>();

	private InetSocketAddress leader;

	private Channel channel;

	private boolean connecting;

	private long lastCallId;

	private int unansweredPings;

	/**
	 * Creates a link without a leader.
	 * @param loop the event loop
	 * @param group the group of the event loop
	 * @param log takes a line for each lost or regained connection
	 * @param leaderCheck is run when the leader is not reached, does not lead, or may
	 * have lost its lease
	 */
	public LeaderConnection(EventLoop loop, EventLoopGroup group, DecisionLog log, Runnable leaderCheck) {
		this.loop = loop;
		this.group = group;
		this.log = log;
		this.leaderCheck = leaderCheck;
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
			.handler(new PeerChannelInitializer(this::received, () -> closed(address)))
			.connect(address)
			.addListener((ChannelFuture future) -> connectCompleted(address, future));
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
		failPending();
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
	 * @param reply gets the answer, or empty if there is none in time
	 */
	public void request(PeerFrame.Kind kind, String subject, Consumer<Optional<PeerFrame>> reply) {
		if (!connected()) {
			reply.accept(Optional.empty());
			return;
		}
		long callId = ++this.lastCallId;
		this.pendingReplies.put(callId, reply);
		PeerChannelInitializer.send(this.channel, PeerFrame.of(kind, callId, subject));
		this.loop.schedule(REPLY_TIMEOUT_MILLIS, () -> timeOut(callId));
	}

	/**
	 * Sends a frame that is not answered, if there is a connection.
	 * @param frame the frame
	 */
	public void sendOneWay(PeerFrame frame) {
		if (connected()) {
			PeerChannelInitializer.send(this.channel, frame);
		}
	}

	private void connectCompleted(InetSocketAddress address, ChannelFuture future) {
		if (!address.equals(this.leader) || !this.connecting) {
			future.channel().close();
			return;
		}
		this.connecting = false;
		if (!future.isSuccess()) {
			this.leader = null;
			this.log.append("leader-unreachable", address, "error", future.cause().getMessage());
			this.leaderCheck.run();
			return;
		}
		this.channel = future.channel();
		this.unansweredPings = 0;
		this.log.append("leader-connected", address);
		ping();
	}

	private void ping() {
		Channel current = this.channel;
		if (current == null) {
			return;
		}
		request(PeerFrame.Kind.PING, "", (reply) -> {
			if (this.channel != current) {
				return;
			}
			boolean alive = reply.filter((frame) -> frame.kind() == PeerFrame.Kind.PONG).isPresent();
			this.unansweredPings = alive ? 0 : this.unansweredPings + 1;
			if (alive && reply.get().number() == 0) {
				// The leader may have lost the store, so another one may be needed.
				this.leaderCheck.run();
			}
			if (reply.isPresent() && !alive || this.unansweredPings > 1) {
				InetSocketAddress formerLeader = this.leader;
				this.log.append("leader-link-lost", String.valueOf(formerLeader), "unanswered", this.unansweredPings);
				disconnect();
				this.leaderCheck.run();
				return;
			}
			this.loop.schedule(PING_INTERVAL_MILLIS, () -> {
				if (this.channel == current) {
					ping();
				}
			});
		});
	}

	private void received(Channel from, PeerFrame frame) {
		Consumer<Optional<PeerFrame>> reply = this.pendingReplies.remove(frame.callId());
		if (reply != null) {
			reply.accept(Optional.of(frame));
		}
	}

	private void closed(InetSocketAddress address) {
		if (this.channel != null && address.equals(this.leader) && !this.channel.isActive()) {
			this.log.append("leader-link-closed", address);
			disconnect();
			this.leaderCheck.run();
		}
	}

	private void timeOut(long callId) {
		Consumer<Optional<PeerFrame>> reply = this.pendingReplies.remove(callId);
		if (reply != null) {
			reply.accept(Optional.empty());
		}
	}

	private void failPending() {
		List<Consumer<Optional<PeerFrame>>> failed = List.copyOf(this.pendingReplies.values());
		this.pendingReplies.clear();
		failed.forEach((reply) -> reply.accept(Optional.empty()));
	}

}
