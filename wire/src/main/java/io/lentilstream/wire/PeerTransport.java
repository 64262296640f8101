package io.lentilstream.wire;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import io.lentilstream.model.VmId;

/**
 * Connects this process with its peers over TCP. There is at most one link in use per
 * peer; a peer that both sides dial keeps the link that the lower id dialed.
 */
public final class PeerTransport implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MILLIS = 2000;

	private final LocalPeer self;

	private final PeerKey key;

	private final RandomGenerator random;

	private final PeerListener listener;

	private final FrameCodec codec;

	private final int maxFrameBytes;

	private final TrafficMeter meter = new TrafficMeter();

	private final EventLoopGroup group;

	private final Map<VmId, Target> targets = new HashMap<>();

	private final Map<VmId, PeerLink> links = new HashMap<>();

	private final Object announcements = new Object();

	private boolean closed;

	/**
	 * Creates a transport with the default frame limit that is not yet reachable.
	 * @param self the identity of this process
	 * @param key the peer key
	 * @param random the source of nonces and jitter; must be safe for use by several
	 * threads and, outside of tests, cryptographically strong
	 * @param listener gets links and messages
	 * @param threads the number of I/O threads
	 */
	public PeerTransport(LocalPeer self, PeerKey key, RandomGenerator random, PeerListener listener, int threads) {
		this(self, key, random, listener, threads, WireDefaults.MAX_FRAME_BYTES);
	}

	/**
	 * Creates a transport that is not yet reachable.
	 * @param self the identity of this process
	 * @param key the peer key
	 * @param random the source of nonces and jitter; must be safe for use by several
	 * threads and, outside of tests, cryptographically strong
	 * @param listener gets links and messages
	 * @param threads the number of I/O threads
	 * @param maxFrameBytes largest content of a frame, in bytes
	 */
	public PeerTransport(LocalPeer self, PeerKey key, RandomGenerator random, PeerListener listener, int threads,
			int maxFrameBytes) {
		this.self = self;
		this.key = key;
		this.random = random;
		this.listener = listener;
		this.maxFrameBytes = maxFrameBytes;
		this.codec = new FrameCodec(maxFrameBytes);
		this.group = new NioEventLoopGroup(threads);
	}

	/**
	 * Starts to accept peers.
	 * @param address the address to bind; port 0 picks a free port
	 * @return the bound address
	 */
	public InetSocketAddress listen(InetSocketAddress address) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer(null));
		Channel channel = bootstrap.bind(address).syncUninterruptibly().channel();
		return (InetSocketAddress) channel.localAddress();
	}

	/**
	 * Keeps a link to a peer: connects now and again after each end of the link, with
	 * backoff. A call with another address replaces the earlier one.
	 * @param vm the VM that must answer at the address
	 * @param address the address of the peer
	 */
	public void connect(VmId vm, InetSocketAddress address) {
		Target target;
		synchronized (this) {
			Target known = this.targets.get(vm);
			if (this.closed || vm.equals(this.self.vm()) || (known != null && known.address.equals(address))) {
				return;
			}
			target = new Target(vm, address,
					new Backoff(WireDefaults.MIN_BACKOFF, WireDefaults.MAX_BACKOFF, this.random));
			this.targets.put(vm, target);
		}
		dial(target);
	}

	/**
	 * Stops connecting to a peer and closes its link.
	 * @param vm the VM of the peer
	 */
	public void disconnect(VmId vm) {
		PeerLink link;
		synchronized (this) {
			this.targets.remove(vm);
			link = this.links.get(vm);
		}
		if (link != null) {
			link.close("disconnected by this side");
		}
	}

	/**
	 * Sends a message without correlation id.
	 * @param to the VM of the peer
	 * @param message the message
	 * @return whether the message was queued; anything else means that no byte was sent
	 */
	public SendOutcome send(VmId to, PeerMessage message) {
		return send(to, PeerFrame.of(message));
	}

	/**
	 * Sends a message with its ids.
	 * @param to the VM of the peer
	 * @param frame the message and its ids
	 * @return whether the message was queued; anything else means that no byte was sent
	 */
	public SendOutcome send(VmId to, PeerFrame frame) {
		PeerLink link;
		synchronized (this) {
			link = this.links.get(to);
		}
		return (link != null) ? link.send(frame) : new SendOutcome.NotConnected();
	}

	/**
	 * Returns the counters of this process.
	 * @return the meter
	 */
	public TrafficMeter meter() {
		return this.meter;
	}

	/**
	 * Closes all links and stops accepting. Waits until the I/O threads have ended.
	 */
	@Override
	public void close() {
		synchronized (this) {
			this.closed = true;
			this.targets.clear();
		}
		this.group.shutdownGracefully(0, 2, TimeUnit.SECONDS).syncUninterruptibly();
	}

	LocalPeer self() {
		return this.self;
	}

	FrameCodec codec() {
		return this.codec;
	}

	PeerListener listener() {
		return this.listener;
	}

	Handshake newHandshake(boolean connects) {
		return connects ? Handshake.connecting(this.self, this.key, this.random)
				: Handshake.accepting(this.self, this.key, this.random);
	}

	/**
	 * Takes an authenticated link into use and tells the listener.
	 * @param link the link
	 * @return why the link must be closed, or {@code null} if it is in use
	 */
	String register(PeerLink link) {
		// The lock keeps the listener from seeing the end of an old link after the start
		// of the one that follows it.
		synchronized (this.announcements) {
			PeerLink replaced;
			synchronized (this) {
				replaced = this.links.get(link.peer().vm());
				if (this.closed) {
					return "this side shuts down";
				}
				if (replaced != null && !replaces(link, replaced)) {
					return "another link to the peer is in use";
				}
				this.links.put(link.peer().vm(), link);
			}
			if (replaced != null) {
				replaced.close("replaced by a newer link");
			}
			this.listener.linkUp(link.peer());
		}
		return null;
	}

	/**
	 * Forgets a link that ended and tells the listener if it was in use.
	 * @param link the link
	 * @param reason why the link ended
	 */
	void unregister(PeerLink link, String reason) {
		synchronized (this.announcements) {
			Target target;
			synchronized (this) {
				if (link.peer() == null || !this.links.remove(link.peer().vm(), link)) {
					return;
				}
				target = this.targets.get(link.peer().vm());
			}
			this.listener.linkDown(link.peer(), reason);
			if (target != null) {
				retryLater(target);
			}
		}
	}

	/**
	 * Forgets earlier failures of a peer whose link lasted.
	 * @param link the link
	 */
	synchronized void lasted(PeerLink link) {
		Target target = this.targets.get(link.peer().vm());
		if (target != null && this.links.get(link.peer().vm()) == link) {
			target.backoff.reset();
		}
	}

	private boolean replaces(PeerLink link, PeerLink known) {
		if (link.peer().incarnation() != known.peer().incarnation()) {
			return link.peer().incarnation() > known.peer().incarnation();
		}
		// A side dials again only after it lost its earlier link.
		return link.connects() == known.connects() || link.isDialedByLowerId();
	}

	private void dial(Target target) {
		synchronized (this) {
			target.scheduled = false;
			boolean obsolete = this.closed || this.targets.get(target.vm) != target;
			if (obsolete || this.links.containsKey(target.vm)) {
				return;
			}
		}
		Bootstrap bootstrap = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(initializer(target.vm));
		bootstrap.connect(target.address).addListener((ChannelFuture future) -> {
			if (future.isSuccess()) {
				future.channel().closeFuture().addListener((closing) -> retryLater(target));
			}
			else {
				retryLater(target);
			}
		});
	}

	private synchronized void retryLater(Target target) {
		boolean obsolete = this.closed || this.targets.get(target.vm) != target;
		if (!obsolete && !target.scheduled && !this.group.isShuttingDown()) {
			target.scheduled = true;
			this.group.schedule(() -> dial(target), target.backoff.nextPause().toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private ChannelInitializer<SocketChannel> initializer(VmId expected) {
		return new ChannelInitializer<>() {

			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast("frames", new FrameSplitter(PeerTransport.this.maxFrameBytes))
					.addLast("link", new PeerLink(PeerTransport.this, expected));
			}

		};
	}

	private static final class Target {

		private final VmId vm;

		private final InetSocketAddress address;

		private final Backoff backoff;

		private boolean scheduled;

		private Target(VmId vm, InetSocketAddress address, Backoff backoff) {
			this.vm = vm;
			this.address = address;
			this.backoff = backoff;
		}

	}

}
