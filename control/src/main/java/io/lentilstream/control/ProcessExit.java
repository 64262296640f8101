package io.lentilstream.control;

/**
 * The exit of the process. Shutdown hooks do not run.
 */
public final class ProcessExit {

	/**
	 * How long an output that is not read may delay the exit, in milliseconds.
	 */
	private static final long MAX_LAST_ACTION_MILLIS = 250;

	private ProcessExit() {
	}

	/**
	 * Halts the process after a last action, or while that takes too long.
	 * @param status the exit status
	 * @param lastAction what is still done, such as writing the log
	 */
	public static void halt(int status, Runnable lastAction) {
		try {
			startLimit(status);
			lastAction.run();
		}
		finally {
			Runtime.getRuntime().halt(status);
		}
	}

	private static void startLimit(int status) {
		Thread limit = new Thread(() -> haltLater(status), "exit-limit");
		limit.setDaemon(true);
		try {
			limit.start();
		}
		catch (OutOfMemoryError ex) {
			// No thread is left; the last action is not limited then.
		}
	}

	private static void haltLater(int status) {
		try {
			Thread.sleep(MAX_LAST_ACTION_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		Runtime.getRuntime().halt(status);
	}

}
