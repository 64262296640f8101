package io.lentilstream.jobs.scheduling;

/**
 * Bounds when the lease of a VM's tasks ends, which is measured on the VM's own steady
 * clock. That clock may run slow, so the bound is late rather than early.
 */
final class WorkerLease {

	/** The slowest that the clock of a VM may run. */
	private static final double SLOWEST = 0.98;

	/** Time for an order on its way and for ending the tasks, in milliseconds. */
	private static final long MARGIN_MILLIS = 400;

	private boolean known;

	private long clockAtReceipt;

	private long receivedAt;

	private long sentAt;

	private long latestDeadline;

	void clockRead(long clock, long sent, long received) {
		this.known = true;
		this.clockAtReceipt = clock;
		this.sentAt = sent;
		this.receivedAt = received;
	}

	boolean known() {
		return this.known;
	}

	/**
	 * Returns the deadline that extends the lease as far as allowed, and notes that an
	 * order with it is about to be sent.
	 * @param now the current time in milliseconds
	 * @param leaseMillis the longest lease in milliseconds
	 * @param latestEnd when leases have to end at the latest, in milliseconds
	 * @return the deadline on the VM's clock
	 */
	long extend(long now, long leaseMillis, long latestEnd) {
		// The VM shortens what is too long, but it does not know the latest end.
		long longest = this.clockAtReceipt + (now - this.sentAt) + leaseMillis;
		long latest = this.clockAtReceipt + (latestEnd - this.receivedAt);
		long deadline = Math.min(longest, latest);
		this.latestDeadline = Math.max(this.latestDeadline, deadline);
		return deadline;
	}

	boolean certainlyPassed(long now) {
		if (!this.known) {
			return false;
		}
		double earliestClock = this.clockAtReceipt + SLOWEST * (now - this.receivedAt);
		return earliestClock > this.latestDeadline + MARGIN_MILLIS;
	}

}
