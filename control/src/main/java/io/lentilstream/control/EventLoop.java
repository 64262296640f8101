package io.lentilstream.control;

/**
 * Runs all work of a control process on one thread, and knows the time.
 */
public interface EventLoop {

	/**
	 * Returns the steady clock of this process.
	 * @return milliseconds since an arbitrary origin
	 */
	long now();

	/**
	 * Returns the time of day.
	 * @return milliseconds since 1970
	 */
	long wallClockMillis();

	/**
	 * Runs a task later.
	 * @param millis the delay in milliseconds
	 * @param task the task
	 * @return cancels the task if it has not run yet
	 */
	Runnable schedule(long millis, Runnable task);

}
