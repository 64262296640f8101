package io.lentilstream.control.shutdown;

/**
 * The deadlines of a shutdown, on the steady clock in milliseconds. Load pattern:
 * requests that wait for others arrive until a process stops listening.
 *
 * @param listenUntil until when new connections are accepted
 * @param leadUntil when a leader ends its lease at the latest
 * @param answerBy when all requests that were received are answered at the latest
 * @param exitBy when the process exits at the latest
 */
record ShutdownDeadlines(long listenUntil, long leadUntil, long answerBy, long exitBy) {

	/**
	 * Time in which callers that do not know of the shutdown may still connect, in
	 * milliseconds.
	 */
	private static final long MAX_LISTEN_MILLIS = 2600;

	/** Time for the last answers to be sent, in milliseconds. */
	private static final long SEND_MILLIS = 300;

	/** Time for a leader to end its lease, in milliseconds. */
	private static final long RELEASE_MILLIS = 600;

	/** Time for the exit itself, in milliseconds. */
	private static final long EXIT_MILLIS = 400;

	/**
	 * Derives the deadlines from the grace period.
	 * @param signalledAt when the process was asked to stop
	 * @param graceMillis how long after that it may run, in milliseconds
	 * @return the deadlines
	 */
	static ShutdownDeadlines of(long signalledAt, long graceMillis) {
		long exitBy = signalledAt + Math.max(0, graceMillis - EXIT_MILLIS);
		long answerBy = Math.max(signalledAt, exitBy - SEND_MILLIS);
		long listenUntil = signalledAt + Math.min(MAX_LISTEN_MILLIS, (answerBy - signalledAt) / 2);
		long leadUntil = Math.max(signalledAt, exitBy - RELEASE_MILLIS);
		return new ShutdownDeadlines(listenUntil, leadUntil, answerBy, exitBy);
	}

}
