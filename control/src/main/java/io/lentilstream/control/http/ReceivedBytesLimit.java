package io.lentilstream.control.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Bounds the memory of all bodies that are being received by a server, and closes the
 * connections whose bodies go beyond it. Load pattern: many large bodies arrive at once.
 */
final class ReceivedBytesLimit {

	private final long maxBytes;

	private long bytes;

	/**
	 * Creates a limit.
	 * @param maxBytes the maximum size of all unfinished bodies together, in bytes
	 */
	ReceivedBytesLimit(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates the handler of a connection, which precedes the aggregator.
	 * @return the handler
	 */
	ChannelInboundHandlerAdapter newHandler() {
		return new BodyCounter();
	}

	/**
	 * Counts the bytes of the body that a connection receives.
	 */
	private final class BodyCounter extends ChannelInboundHandlerAdapter {

		private long counted;

		private boolean refused;

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (message instanceof HttpContent part && !(message instanceof LastHttpContent)) {
				count(part.content().readableBytes());
				this.refused |= ReceivedBytesLimit.this.bytes > ReceivedBytesLimit.this.maxBytes;
			}
			if (this.refused) {
				ReferenceCountUtil.release(message);
				uncount();
				context.close();
				return;
			}
			context.fireChannelRead(message);
			if (message instanceof LastHttpContent) {
				uncount();
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			uncount();
			context.fireChannelInactive();
		}

		private void count(long added) {
			this.counted += added;
			ReceivedBytesLimit.this.bytes += added;
		}

		private void uncount() {
			ReceivedBytesLimit.this.bytes -= this.counted;
			this.counted = 0;
		}

	}

}
