package io.lentilstream.control.http;

import java.util.function.LongSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * The progress of the response that a connection is receiving.
 */
final class ResponseProgress extends ChannelInboundHandlerAdapter {

	private final LongSupplier clock;

	private long receivedBytes;

	private long lastReceivedAt;

	ResponseProgress(LongSupplier clock) {
		this.clock = clock;
	}

	/**
	 * Starts to measure the response to a request that is sent now.
	 */
	void reset() {
		this.receivedBytes = 0;
		this.lastReceivedAt = this.clock.getAsLong();
	}

	/**
	 * Returns how much of the response has arrived.
	 * @return the number of bytes with the head; 0 if the response has not begun
	 */
	long receivedBytes() {
		return this.receivedBytes;
	}

	/**
	 * Returns when the last bytes arrived.
	 * @return the time on the steady clock in milliseconds; when the request was sent if
	 * the response has not begun
	 */
	long lastReceivedAt() {
		return this.lastReceivedAt;
	}

	/**
	 * Describes a response that has not arrived in time.
	 * @param now the current time on the steady clock, in milliseconds
	 * @return the reason why the call has failed, for the log
	 */
	String describeTimeout(long now) {
		if (this.receivedBytes == 0) {
			return "timed out waiting for a response";
		}
		return "timed out receiving a response: " + this.receivedBytes + " bytes, the last "
				+ (now - this.lastReceivedAt) + " ms ago";
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof ByteBuf bytes) {
			this.receivedBytes += bytes.readableBytes();
			this.lastReceivedAt = this.clock.getAsLong();
		}
		context.fireChannelRead(message);
	}

}
