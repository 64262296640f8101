package io.lentilstream.control;

import io.netty.handler.codec.CodecException;

/**
 * Stops the process when an exception shows that an invariant is broken. Going on with
 * state of which a part was changed could start a task twice.
 */
public final class Invariants {

	private static final int BROKEN_STATUS = 3;

	private Invariants() {
	}

	/**
	 * Stops the process unless the exception comes from a connection or a peer's bytes.
	 * @param cause the exception
	 */
	public static void check(Throwable cause) {
		if (cause instanceof RuntimeException && !(cause instanceof CodecException) || cause instanceof Error) {
			cause.printStackTrace();
			Runtime.getRuntime().halt(BROKEN_STATUS);
		}
	}

}
