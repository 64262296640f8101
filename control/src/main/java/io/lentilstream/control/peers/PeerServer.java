package io.lentilstream.control.peers;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.UnaryOperator;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;

import io.lentilstream.control.AcceptFailureHandler;
import io.lentilstream.control.limits.ClientLimits;

/**
 * Accepts connections from peers and replies to their frames.
 */
public final class PeerServer {

	private final UnaryOperator<PeerFrame> handler;

	private final FollowerRegistry followers;

	private Channel serverChannel;

	/**
	 * Creates a server that is not listening yet.
	 * @param handler returns the reply to a frame, or {@code null} if it has none
	 * @param followers records what peers tell with their pings
	 */
	public PeerServer(UnaryOperator<PeerFrame> handler, FollowerRegistry followers) {
		this.handler = handler;
		this.followers = followers;
	}

	/**
	 * Starts listening.
	 * @param group the group of the event loop
	 * @param address the address to listen on
	 * @param limits the limits that all listeners of the process share
	 * @throws InterruptedException if interrupted while binding the address
	 */
	public void listen(EventLoopGroup group, InetSocketAddress address, ClientLimits limits)
			throws InterruptedException {
		this.serverChannel = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.handler(new AcceptFailureHandler())
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new PeerChannelInitializer(this::received, this.followers::closed, Optional.of(limits)))
			.bind(address)
			.sync()
			.channel();
	}

	/**
	 * Stops listening.
	 */
	public void stop() {
		if (this.serverChannel != null) {
			this.serverChannel.close();
		}
	}

	private void received(Channel channel, PeerFrame frame) {
		this.followers.received(channel, frame);
		PeerFrame reply = this.handler.apply(frame);
		if (reply != null) {
			PeerChannelInitializer.send(channel, reply);
		}
	}

}
