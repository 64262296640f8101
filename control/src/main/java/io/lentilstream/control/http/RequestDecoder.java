package io.lentilstream.control.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * A decoder of requests that knows how much memory it holds.
 */
final class RequestDecoder extends HttpRequestDecoder {

	private static final int MAX_REQUEST_LINE_BYTES = 8192;

	private static final int MAX_HEADER_BYTES = 16_384;

	private static final int MAX_CHUNK_BYTES = 8192;

	RequestDecoder() {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
			.setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxChunkSize(MAX_CHUNK_BYTES));
	}

	/**
	 * Returns the memory of the bytes that are not part of a complete line or chunk yet.
	 * @return the size in bytes
	 */
	int heldBytes() {
		return internalBuffer().capacity();
	}

}
