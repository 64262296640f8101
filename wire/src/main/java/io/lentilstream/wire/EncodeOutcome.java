package io.lentilstream.wire;

/**
 * Is the outcome of encoding a frame.
 */
public sealed interface EncodeOutcome {

	/**
	 * The frame was encoded.
	 *
	 * @param bytes the length field and the frame
	 */
	record Encoded(byte[] bytes) implements EncodeOutcome {
	}

	/**
	 * The frame is larger than the limit and must not be sent.
	 *
	 * @param size the size of the frame, in bytes
	 * @param limit the limit, in bytes
	 */
	record TooLarge(int size, int limit) implements EncodeOutcome {
	}

}
