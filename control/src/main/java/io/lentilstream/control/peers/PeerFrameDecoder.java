package io.lentilstream.control.peers;

import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * A decoder of frames that knows how much memory it holds.
 */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {

	private static final int MAX_FRAME_BYTES = 1 << 20;

	static final int LENGTH_BYTES = 4;

	PeerFrameDecoder() {
		super(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	/**
	 * Returns the memory of a frame that is being received.
	 * @return the size in bytes
	 */
	int heldBytes() {
		return internalBuffer().capacity();
	}

}
