package io.lentilstream.control;

import io.netty.handler.codec.CodecException;

/**
 * Stops the process when an exception shows that an invariant is broken. Going on with
 * state of which a part was changed could start a task twice.
 */
public final class FatalErrors {

	private static final int EXIT_STATUS = 3;

	private FatalErrors() {
	}

	/**
	 * Stops the process unless the exception comes from a connection or a peer's bytes.
	 * @param cause the exception
	 */
	public static void haltIfFatal(Throwable cause) {
		if (cause instanceof RuntimeException && !(cause instanceof CodecException) || cause instanceof Error) {
			cause.printStackTrace();
			Runtime.getRuntime().halt(EXIT_STATUS);
		}
	}

}
