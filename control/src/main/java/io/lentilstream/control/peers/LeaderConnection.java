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
import io.lentilstream.control.FatalErrors;
import io.lentilstream.jobs.DecisionLog;

/**
 * The connection to the leader. Pings the leader and detects when it does not reply. All
 * methods must be called on the event loop.
 */
public final class LeaderConnection {

	private static final int CONNECT_TIMEOUT_MILLIS = 700;

	/** Time between two pings, in milliseconds. */
	private static final long PING_INTERVAL_MILLIS = 500;

	/** Timeout of a reply, in milliseconds. */
	private static final long REPLY_TIMEOUT_MILLIS = 400;

	private final EventLoop loop;

	private final EventLoopGroup group;

	private final DecisionLog log;

	private final Listener listener;

	private final Map<Long, Consumer<Optional<PeerFrame>>> pendingReplies = new HashMap<>();

	private InetSocketAddress leader;

	private Channel channel;

	private boolean connecting;

	private long lastCallId;

	private int unansweredPings;

	/**
	 * Creates a connection that is not connected to any leader.
	 * @param loop the event loop
	 * @param group the group of the event loop
	 * @param log receives a line for each connection that is established, lost or cannot
	 * be established
	 * @param listener notified when another leader may be needed
	 */
	public LeaderConnection(EventLoop loop, EventLoopGroup group, DecisionLog log, Listener listener) {
		this.loop = loop;
		this.group = group;
		this.log = log;
		this.listener = listener;
	}

	/**
	 * Connects to a leader, and closes the connection to any other. Does nothing if it is
	 * already connected or connecting to that address.
	 * @param address the address on which the leader accepts connections
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
			.handler(new PeerChannelInitializer(this::received, (closed) -> closed(address), Optional.empty()))
			.connect(address)
			.addListener((ChannelFuture future) -> FatalErrors.runChecked(() -> connectCompleted(address, future)));
	}

	/**
	 * Closes the connection. Requests in flight complete without a reply.
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
	 * Returns whether there is an open connection.
	 * @return {@code true} if frames can be sent
	 */
	public boolean connected() {
		return this.channel != null && this.channel.isActive();
	}

	/**
	 * Sends a request.
	 * @param kind the kind of the request
	 * @param subject the id or name that the request is about
	 * @param reply receives the reply, or empty if there is none in time or no connection
	 */
	public void request(PeerFrame.Kind kind, String subject, Consumer<Optional<PeerFrame>> reply) {
		request(kind, subject, 0, reply);
	}

	private void request(PeerFrame.Kind kind, String subject, long number, Consumer<Optional<PeerFrame>> reply) {
		if (!connected()) {
			reply.accept(Optional.empty());
			return;
		}
		long callId = ++this.lastCallId;
		this.pendingReplies.put(callId, reply);
		PeerChannelInitializer.send(this.channel, PeerFrame.of(kind, callId, subject).withNumber(number));
		this.loop.schedule(REPLY_TIMEOUT_MILLIS, () -> timeOut(callId));
	}

	/**
	 * Tells the leader at once whether this process could lead, without waiting for the
	 * next ping.
	 */
	public void announceCandidacy() {
		sendPing((reply) -> {
		});
	}

	private void sendPing(Consumer<Optional<PeerFrame>> reply) {
		request(PeerFrame.Kind.PING, "", this.listener.canLead() ? PeerFrame.CAN_LEAD : PeerFrame.CANNOT_LEAD, reply);
	}

	/**
	 * Requests room for a job.
	 * @param job the id of the job
	 * @param bytes its cost in bytes
	 * @param reply receives the reply, or empty if there is none in time
	 */
	public void reserve(String job, long bytes, Consumer<Optional<PeerFrame>> reply) {
		request(PeerFrame.Kind.RESERVE, job, bytes, reply);
	}

	/**
	 * Sends a frame that has no reply. It is dropped if there is no connection.
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
			this.listener.leaderLost();
			this.listener.leaderDoubtful();
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
		sendPing((reply) -> {
			if (this.channel != current) {
				return;
			}
			boolean alive = reply.filter((frame) -> frame.kind() == PeerFrame.Kind.PONG).isPresent();
			this.unansweredPings = alive ? 0 : this.unansweredPings + 1;
			if (alive) {
				this.listener.leaderAnswered(reply.get());
			}
			if (alive && reply.get().number() == 0) {
				// The leader's lease may have expired and another process been elected.
				this.listener.leaderDoubtful();
			}
			if (reply.isPresent() && !alive || this.unansweredPings > 1) {
				InetSocketAddress formerLeader = this.leader;
				this.log.append("leader-link-lost", String.valueOf(formerLeader), "unanswered", this.unansweredPings);
				disconnect();
				if (reply.isEmpty()) {
					this.listener.leaderLost();
				}
				this.listener.leaderDoubtful();
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
		if (from == this.channel && frame.kind() == PeerFrame.Kind.NOT_LEADING && frame.callId() == 0) {
			this.log.append("leader-resigned", String.valueOf(this.leader));
			disconnect();
			this.listener.leaderResigned();
			return;
		}
		Consumer<Optional<PeerFrame>> reply = this.pendingReplies.remove(frame.callId());
		if (reply != null) {
			reply.accept(Optional.of(frame));
		}
	}

	private void closed(InetSocketAddress address) {
		if (this.channel != null && address.equals(this.leader) && !this.channel.isActive()) {
			this.log.append("leader-link-closed", address);
			disconnect();
			this.listener.leaderLost();
			this.listener.leaderDoubtful();
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

	/**
	 * A listener for the state of the connection.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Called when the leader cannot be reached, is no longer the leader, or may have
		 * lost its lease.
		 */
		void leaderDoubtful();

		/**
		 * Called when the connection to the leader was lost or cannot be opened, before
		 * {@link #leaderDoubtful}.
		 */
		default void leaderLost() {
		}

		/**
		 * Called when the leader has answered.
		 * @param pong the answer
		 */
		default void leaderAnswered(PeerFrame pong) {
		}

		/**
		 * Called when the leader has ended its lease and tells this process as its
		 * successor.
		 */
		default void leaderResigned() {
			leaderDoubtful();
		}

		/**
		 * Returns whether this process could lead.
		 * @return {@code false} if the leader should not hand over to it
		 */
		default boolean canLead() {
			return true;
		}

	}

}
