package io.lentilstream.cli;

import java.util.concurrent.CountDownLatch;

/**
 * Tells a running command that the process is asked to stop.
 */
public final class StopRequest {

	private final CountDownLatch requested = new CountDownLatch(1);

	/**
	 * Asks to stop.
	 */
	public void request() {
		this.requested.countDown();
	}

	/**
	 * Tells whether a stop was requested.
	 * @return {@code true} after a request
	 */
	public boolean isRequested() {
		return this.requested.getCount() == 0;
	}

	/**
	 * Waits for a request.
	 * @return {@code true} if a stop was requested, {@code false} if the waiting thread
	 * was interrupted
	 */
	public boolean await() {
		try {
			this.requested.await();
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
