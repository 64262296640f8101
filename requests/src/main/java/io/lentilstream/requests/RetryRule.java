package io.lentilstream.requests;

/**
 * Decides whether a request gets another attempt after one ended without an answer.
 */
final class RetryRule {

	/** Attempts of a request that may have run, counting the first. */
	static final int MAX_ATTEMPTS = 3;

	/** Attempts of a request that certainly did not run. */
	static final int MAX_REFUSALS = 5;

	private RetryRule() {
	}

	/**
	 * Decides about a request that an endpoint may have run.
	 * @param ticket the request
	 * @param now the current instant, in nanoseconds
	 * @param overloaded whether requests wait for a slot
	 * @return {@code true} if it may run again
	 */
	static boolean mayRunAgain(Ticket ticket, long now, boolean overloaded) {
		return ticket.repeatable && !overloaded && ticket.brokenAttempts < MAX_ATTEMPTS && ticket.budget.available()
				&& hasTime(ticket, now);
	}

	/**
	 * Decides about a request whose last attempt certainly did not run.
	 * @param ticket the request
	 * @param now the current instant, in nanoseconds
	 * @return {@code true} if it may be sent elsewhere
	 */
	static boolean maySendElsewhere(Ticket ticket, long now) {
		return ticket.refusals < MAX_REFUSALS && hasTime(ticket, now);
	}

	static boolean hasTime(Ticket ticket, long now) {
		return ticket.deadline - now > ticket.group.medianNanos();
	}

}
