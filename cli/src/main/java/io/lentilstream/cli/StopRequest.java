package io.lentilstream.cli;

import java.util.concurrent.CountDownLatch;

/**
 * A one-way flag that tells a running command to stop.
 */
public final class StopRequest {

	private final CountDownLatch requested = new CountDownLatch(1);

	/**
	 * Requests the command to stop. Further calls have no effect.
	 */
	public void request() {
		this.requested.countDown();
	}

	/**
	 * Returns whether a stop was requested.
	 * @return {@code true} if a stop was requested
	 */
	public boolean isRequested() {
		return this.requested.getCount() == 0;
	}

	/**
	 * Waits until a stop is requested. Keeps the interrupt flag of the thread set if the
	 * wait is interrupted.
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
