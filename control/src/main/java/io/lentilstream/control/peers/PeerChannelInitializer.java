package io.lentilstream.control.peers;

import java.util.Optional;
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
import io.netty.handler.codec.LengthFieldPrepender;

import io.lentilstream.control.FatalErrors;
import io.lentilstream.control.limits.ClientLimits;

/**
 * Sets up the pipeline of channels that carry frames.
 */
final class PeerChannelInitializer extends ChannelInitializer<SocketChannel> {

	private final BiConsumer<Channel, PeerFrame> onFrame;

	private final Consumer<Channel> onClosed;

	private final Optional<ClientLimits> limits;

	/**
	 * Creates an initializer.
	 * @param onFrame takes the frames that are received
	 * @param onClosed notified when a channel is closed
	 * @param limits the limits for channels that others open; empty for those that this
	 * process opens
	 */
	PeerChannelInitializer(BiConsumer<Channel, PeerFrame> onFrame, Consumer<Channel> onClosed,
			Optional<ClientLimits> limits) {
		this.onFrame = onFrame;
		this.onClosed = onClosed;
		this.limits = limits;
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
		PeerFrameDecoder decoder = new PeerFrameDecoder();
		channel.pipeline().addLast(decoder);
		this.limits.ifPresent((shared) -> channel.pipeline().addLast(new PeerConnectionLimiter(shared, decoder)));
		channel.pipeline().addLast(new LengthFieldPrepender(PeerFrameDecoder.LENGTH_BYTES), new FrameHandler());
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
