package io.lentilstream.control.peers;

import java.util.function.BiConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

import io.lentilstream.control.Invariants;

/**
 * Sets up channels that carry frames.
 */
final class PeerChannel extends ChannelInitializer<SocketChannel> {

	private static final int MAX_FRAME_BYTES = 1 << 20;

	private static final int LENGTH_BYTES = 4;

	private final BiConsumer<Channel, PeerFrame> frames;

	private final Runnable closed;

	PeerChannel(BiConsumer<Channel, PeerFrame> frames, Runnable closed) {
		this.frames = frames;
		this.closed = closed;
	}

	static void send(Channel channel, PeerFrame frame) {
		if (channel.isWritable()) {
			channel.writeAndFlush(Unpooled.wrappedBuffer(frame.encode()));
		}
		else {
			// The peer does not read; it has to ask again on another connection.
			channel.close();
		}
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		channel.pipeline()
			.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
					new LengthFieldPrepender(LENGTH_BYTES), new FrameHandler());
	}

	/**
	 * Decodes frames.
	 */
	private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) throws Exception {
			PeerChannel.this.frames.accept(context.channel(), PeerFrame.decode(ByteBufUtil.getBytes(bytes)));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			PeerChannel.this.closed.run();
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			Invariants.check(cause);
			context.close();
		}

	}

}
