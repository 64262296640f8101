package io.lentilstream.requests;

/**
 * Decides whether a request is retried after an attempt that ended without an answer.
 */
final class RetryRule {

	/** Maximum of attempts that an endpoint may have run, including the first. */
	static final int MAX_ATTEMPTS = 3;

	/** Maximum of attempts that endpoints certainly did not run. */
	static final int MAX_REFUSALS = 5;

	private RetryRule() {
	}

	/**
	 * Returns whether a request that an endpoint may have run is retried.
	 * @param tracked the request
	 * @param now the current instant, in nanoseconds
	 * @param overloaded whether urgent requests are queued or no slot is free
	 * @return {@code true} if it may be retried
	 */
	static boolean mayRunAgain(TrackedRequest tracked, long now, boolean overloaded) {
		return tracked.repeatable && !overloaded && tracked.brokenAttempts < MAX_ATTEMPTS && tracked.budget.available()
				&& hasTime(tracked, now);
	}

	/**
	 * Returns whether a request whose last attempt certainly did not run is retried.
	 * @param tracked the request
	 * @param now the current instant, in nanoseconds
	 * @return {@code true} if it may be retried
	 */
	static boolean maySendElsewhere(TrackedRequest tracked, long now) {
		return tracked.endpointRefusals < MAX_REFUSALS && hasTime(tracked, now);
	}

	static boolean hasTime(TrackedRequest tracked, long now) {
		return tracked.deadline - now > tracked.group.medianNanos();
	}

}
