package io.lentilstream.control.leadership;

/**
 * Detects that the lease of a lost leader runs out, instead of being ended by the leader.
 * Assumes that the store does not end it early. A leader that ends its lease does so
 * before it closes its connections, so one whose item is still stored after its
 * connection was lost has not. Load pattern: a leader is lost together with VMs, and
 * callers wait for the end of the leases that it has granted.
 */
final class LeaseExpiryDetector {

	/** The leader that the store last named; {@code null} if there was none. */
	private LeaderRecord found;

	/** The leader that has been lost; {@code null} if there is none. */
	private LeaderRecord lost;

	/** When it was lost, on the steady clock in milliseconds. */
	private long lostAt;

	/** Whether the store has named it after that. */
	private boolean namedSince;

	/**
	 * Handles that the store names a leader.
	 * @param leader the leader
	 * @param readAt when the read of its item was sent, on the steady clock in
	 * milliseconds
	 */
	void found(LeaderRecord leader, long readAt) {
		if (!leader.equals(this.lost)) {
			answered();
		}
		else if (readAt > this.lostAt) {
			this.namedSince = true;
		}
		this.found = leader;
	}

	/**
	 * Handles that the store names a former incarnation of this process as the leader. It
	 * has ended without ending its lease.
	 * @param leader the former incarnation
	 * @param readAt when the read of its item was sent, on the steady clock in
	 * milliseconds
	 */
	void foundFormerIncarnation(LeaderRecord leader, long readAt) {
		this.found = leader;
		this.lost = leader;
		this.lostAt = readAt;
		this.namedSince = true;
	}

	/**
	 * Handles that the connection to the leader was lost or cannot be opened.
	 * @param now the current time on the steady clock, in milliseconds
	 */
	void lost(long now) {
		if (this.lost == null) {
			this.lost = this.found;
			this.lostAt = now;
		}
	}

	/**
	 * Handles that the leader answers, so that it may still end its lease.
	 */
	void answered() {
		this.lost = null;
		this.namedSince = false;
	}

	/**
	 * Returns whether the last leader was lost with a lease that it had not ended.
	 * @return {@code false} if it may have ended its lease
	 */
	boolean leaseExpired() {
		return this.lost != null && this.namedSince;
	}

}
