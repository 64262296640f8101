package io.lentilstream.control.peers;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

import io.lentilstream.control.limits.ClientLimits;
import io.lentilstream.control.limits.ClientMemory;
import io.lentilstream.control.limits.ConnectionLimit;

/**
 * Counts a connection of a peer among those of the clients, since anybody can connect to
 * the listener of the peers. Peers send pings, so their connections are never silent for
 * long.
 */
final class PeerConnectionLimiter extends ChannelInboundHandlerAdapter
		implements ClientMemory.Client, ConnectionLimit.Connection {

	/** The memory that a connection takes without any frame, in bytes. */
	private static final int CONNECTION_BYTES = 4096;

	private final ClientLimits limits;

	private final PeerFrameDecoder decoder;

	private ChannelHandlerContext context;

	private ClientMemory.Share share;

	PeerConnectionLimiter(ClientLimits limits, PeerFrameDecoder decoder) {
		this.limits = limits;
		this.decoder = decoder;
	}

	@Override
	public void channelActive(ChannelHandlerContext handlerContext) {
		this.context = handlerContext;
		this.share = this.limits.memory().open(this);
		this.share.update(CONNECTION_BYTES, 0);
		this.limits.connections().opened(this);
		handlerContext.fireChannelActive();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext handlerContext) {
		this.limits.connections().used(this);
		this.share.update(CONNECTION_BYTES, this.decoder.heldBytes());
		handlerContext.fireChannelReadComplete();
	}

	@Override
	public void channelInactive(ChannelHandlerContext handlerContext) {
		this.limits.connections().closed(this);
		this.share.close();
		handlerContext.fireChannelInactive();
	}

	@Override
	public void shed() {
		this.context.close();
		this.share.update(CONNECTION_BYTES, 0);
	}

	@Override
	public boolean closeUnlessHandling() {
		this.context.close();
		return true;
	}

}
