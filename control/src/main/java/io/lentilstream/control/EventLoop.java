package io.lentilstream.control;

/**
 * A single-threaded event loop that runs all work of a control process, and its clocks.
 */
public interface EventLoop {

	/**
	 * Returns the time on the steady (monotonic) clock of this process.
	 * @return milliseconds since an arbitrary origin
	 */
	long now();

	/**
	 * Returns the wall-clock time.
	 * @return milliseconds since 1970
	 */
	long wallClockMillis();

	/**
	 * Runs a task after a delay.
	 * @param millis the delay in milliseconds
	 * @param task the task
	 * @return a handle whose run method cancels the task if it has not run yet
	 */
	Runnable schedule(long millis, Runnable task);

}
