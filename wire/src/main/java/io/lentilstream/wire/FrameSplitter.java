package io.lentilstream.wire;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;

/**
 * Splits the bytes of a link into frames. The limit is small until the peer has proved
 * the key. A wrong length ends the splitting, since the next frame cannot be found.
 */
final class FrameSplitter extends ByteToMessageDecoder {

	private final int maxFrameBytes;

	private boolean authenticated;

	private boolean broken;

	FrameSplitter(int maxFrameBytes) {
		this.maxFrameBytes = maxFrameBytes;
	}

	void authenticated() {
		this.authenticated = true;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
		if (this.broken) {
			in.skipBytes(in.readableBytes());
			return;
		}
		if (in.readableBytes() < FrameCodec.LENGTH_BYTES) {
			return;
		}
		int length = in.getInt(in.readerIndex());
		if (length <= 0 || length > limit()) {
			this.broken = true;
			in.skipBytes(in.readableBytes());
			out.add(new BadLength(length));
			return;
		}
		if (in.readableBytes() < FrameCodec.LENGTH_BYTES + length) {
			return;
		}
		in.skipBytes(FrameCodec.LENGTH_BYTES);
		byte[] content = new byte[length];
		in.readBytes(content);
		out.add(content);
	}

	private int limit() {
		return this.authenticated ? this.maxFrameBytes
				: Math.min(this.maxFrameBytes, WireDefaults.MAX_HANDSHAKE_FRAME_BYTES);
	}

	/**
	 * Is emitted in place of a frame whose length is out of range.
	 *
	 * @param length the length in the frame
	 */
	record BadLength(int length) {
	}

}
