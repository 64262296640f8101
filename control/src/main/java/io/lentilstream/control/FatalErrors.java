package io.lentilstream.control;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.netty.handler.codec.CodecException;

/**
 * Halts the process on exceptions that show a broken invariant. Continuing with partially
 * updated state could start a task twice.
 */
public final class FatalErrors {

	/** The exit status after a broken invariant. */
	public static final int EXIT_STATUS = 3;

	private static final AtomicBoolean HALTING = new AtomicBoolean();

	private static volatile Consumer<Throwable> lastAction = (cause) -> {
	};

	private FatalErrors() {
	}

	/**
	 * Sets what is done before the process halts. It runs on the event loop, on which no
	 * other work runs any more, and must not rely on the state of other parts.
	 * @param action takes the exception that ends the process
	 */
	public static void beforeHalt(Consumer<Throwable> action) {
		lastAction = action;
	}

	/**
	 * Runs a task and halts the process if it throws. To be used where the caller of the
	 * task would log its exception and go on.
	 * @param task the task
	 */
	public static void runChecked(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException | Error ex) {
			haltIfFatal(ex);
		}
	}

	/**
	 * Halts the process unless the exception was caused by a connection or by bytes that
	 * a peer sent.
	 * @param cause the exception
	 */
	public static void haltIfFatal(Throwable cause) {
		boolean fatal = cause instanceof RuntimeException && !(cause instanceof CodecException)
				|| cause instanceof Error;
		if (!fatal || !HALTING.compareAndSet(false, true)) {
			return;
		}
		// The trace last, since an output that is not read takes all the time that is
		// left.
		ProcessExit.halt(EXIT_STATUS, () -> {
			try {
				lastAction.accept(cause);
			}
			finally {
				cause.printStackTrace();
			}
		});
	}

}
