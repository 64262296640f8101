package io.lentilstream.control.peers;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

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

import io.lentilstream.control.FatalErrors;

/**
 * Sets up the pipeline of channels that carry frames.
 */
final class PeerChannelInitializer extends ChannelInitializer<SocketChannel> {

	private static final int MAX_FRAME_BYTES = 1 << 20;

	private static final int LENGTH_BYTES = 4;

	private final BiConsumer<Channel, PeerFrame> onFrame;

	private final Consumer<Channel> onClosed;

	PeerChannelInitializer(BiConsumer<Channel, PeerFrame> onFrame, Consumer<Channel> onClosed) {
		this.onFrame = onFrame;
		this.onClosed = onClosed;
	}

	static void send(Channel channel, PeerFrame frame) {
		if (channel.isWritable()) {
			channel.writeAndFlush(Unpooled.wrappedBuffer(frame.encode()));
		}
		else {
			// The peer does not read its replies; it has to retry on another connection.
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
	 * Decodes frames and passes them on.
	 */
	private final class FrameHandler extends SimpleChannelInboundHandler<ByteBuf> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) throws Exception {
			PeerChannelInitializer.this.onFrame.accept(context.channel(),
					PeerFrame.decode(ByteBufUtil.getBytes(bytes)));
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			PeerChannelInitializer.this.onClosed.accept(context.channel());
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			FatalErrors.haltIfFatal(cause);
			context.close();
		}

	}

}
