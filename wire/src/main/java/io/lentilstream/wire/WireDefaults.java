package io.lentilstream.wire;

import java.time.Duration;

/**
 * Holds the defaults of the wire protocol.
 */
public final class WireDefaults {

	/**
	 * Version of the protocol.
	 */
	public static final int VERSION = 1;

	/**
	 * Largest content of a frame, in bytes; a settings document of the largest size that
	 * the store holds still fits.
	 */
	public static final int MAX_FRAME_BYTES = 1 << 20;

	/**
	 * Largest frame before the handshake has ended, in bytes; a stranger must not make
	 * the daemon buffer a whole frame.
	 */
	public static final int MAX_HANDSHAKE_FRAME_BYTES = 1024;

	/**
	 * Time in which a handshake must end.
	 */
	public static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(3);

	/**
	 * Shortest pause before a new connection attempt.
	 */
	public static final Duration MIN_BACKOFF = Duration.ofMillis(100);

	/**
	 * Longest pause before a new connection attempt.
	 */
	public static final Duration MAX_BACKOFF = Duration.ofSeconds(5);

	/**
	 * Largest number of bytes that wait per priority of a link.
	 */
	public static final int MAX_QUEUED_BYTES = 4 << 20;

	/**
	 * Largest number of messages that wait per priority of a link.
	 */
	public static final int MAX_QUEUED_MESSAGES = 1024;

	private WireDefaults() {
	}

}
