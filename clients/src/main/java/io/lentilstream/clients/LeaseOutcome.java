package io.lentilstream.clients;

/**
 * Is the outcome of granting, renewing or revoking a lease.
 */
public sealed interface LeaseOutcome {

	/**
	 * The store granted, renewed or revoked the lease.
	 *
	 * @param lease the lease
	 */
	record Granted(LeaseId lease) implements LeaseOutcome {
	}

	/**
	 * The lease does not exist any more.
	 */
	record Lapsed() implements LeaseOutcome {
	}

	/**
	 * The store did not answer; the call may or may not have taken effect.
	 *
	 * @param reason a short reason for logs
	 */
	record Unavailable(String reason) implements LeaseOutcome {
	}

}
