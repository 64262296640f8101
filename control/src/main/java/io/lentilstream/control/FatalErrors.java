package io.lentilstream.control;

import io.netty.handler.codec.CodecException;

/**
 * Halts the process on exceptions that show a broken invariant. Continuing with partially
 * updated state could start a task twice.
 */
public final class FatalErrors {

	private static final int EXIT_STATUS = 3;

	private FatalErrors() {
	}

	/**
	 * Halts the process unless the exception was caused by a connection or by bytes that
	 * a peer sent.
	 * @param cause the exception
	 */
	public static void haltIfFatal(Throwable cause) {
		if (cause instanceof RuntimeException && !(cause instanceof CodecException) || cause instanceof Error) {
			cause.printStackTrace();
			Runtime.getRuntime().halt(EXIT_STATUS);
		}
	}

}
