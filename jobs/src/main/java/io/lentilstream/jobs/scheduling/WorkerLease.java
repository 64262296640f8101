package io.lentilstream.jobs.scheduling;

/**
 * An upper bound for the end of the lease of a VM's tasks. The VM measures the lease on
 * its own monotonic clock, which may run slow, so the bound is late rather than early.
 */
final class WorkerLease {

	/** The lowest rate at which the clock of a VM may run, relative to this process. */
	private static final double MIN_CLOCK_RATE = 0.98;

	/**
	 * Allowance for commands in transit and for the VM to end its tasks, in milliseconds.
	 */
	private static final long MARGIN_MILLIS = 400;

	private boolean clockKnown;

	private long clockAtReceipt;

	private long receivedAt;

	private long sentAt;

	private long latestDeadline;

	/** Until when leases of predecessors may last, on the clock of this process. */
	private long inheritedUntil = Long.MIN_VALUE;

	/**
	 * Records that predecessors may have granted leases.
	 * @param until the time by which these have certainly expired, in milliseconds
	 */
	void inherit(long until) {
		this.inheritedUntil = until;
	}

	void recordClock(long clock, long sent, long received) {
		this.clockKnown = true;
		this.clockAtReceipt = clock;
		this.sentAt = sent;
		this.receivedAt = received;
	}

	boolean clockKnown() {
		return this.clockKnown;
	}

	/**
	 * Returns the latest permitted deadline of the lease and records that a command with
	 * this deadline is about to be sent.
	 * @param now the current time in milliseconds
	 * @param leaseMillis the maximum lease in milliseconds
	 * @param latestEnd the time by which leases have to end, in milliseconds
	 * @return the deadline on the VM's clock, in milliseconds
	 */
	long extend(long now, long leaseMillis, long latestEnd) {
		// The VM truncates longer leases, but it does not know the latest end.
		long longest = this.clockAtReceipt + (now - this.sentAt) + leaseMillis;
		long latest = this.clockAtReceipt + (latestEnd - this.receivedAt);
		long deadline = Math.min(longest, latest);
		this.latestDeadline = Math.max(this.latestDeadline, deadline);
		return deadline;
	}

	/**
	 * Returns after how long the lease has certainly expired.
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds; 0 if the lease has expired or none was granted,
	 * or if the clock of the VM is not known
	 */
	long remainingMillis(long now) {
		if (!this.clockKnown) {
			return 0;
		}
		double earliestClock = this.clockAtReceipt + MIN_CLOCK_RATE * (now - this.receivedAt);
		double remaining = this.latestDeadline + MARGIN_MILLIS - earliestClock;
		long own = (remaining < 0) ? 0 : (long) Math.ceil(remaining / MIN_CLOCK_RATE) + 1;
		return (now > this.inheritedUntil) ? own : Math.max(own, this.inheritedUntil - now + 1);
	}

	boolean certainlyExpired(long now) {
		if (!this.clockKnown || now <= this.inheritedUntil) {
			return false;
		}
		double earliestClock = this.clockAtReceipt + MIN_CLOCK_RATE * (now - this.receivedAt);
		return earliestClock > this.latestDeadline + MARGIN_MILLIS;
	}

}
