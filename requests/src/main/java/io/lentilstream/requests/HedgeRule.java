package io.lentilstream.requests;

/**
 * Decides when a slow attempt is hedged by a concurrent attempt at another endpoint.
 */
final class HedgeRule {

	/** Share of the slots that must be free, so that hedges do not add to an overload. */
	private static final double MIN_FREE_SHARE = 0.2;

	private HedgeRule() {
	}

	static boolean appliesTo(TrackedRequest tracked) {
		return tracked.repeatable && tracked.policy.hedgingAllowed();
	}

	/**
	 * Returns the delay after which an attempt is hedged: the 95th percentile of the
	 * group's run time.
	 * @param group the group of the request
	 * @return the delay, in nanoseconds
	 */
	static long delayNanos(RunTimeGroup group) {
		return Math.max(1, group.highQuantileNanos());
	}

	static boolean mayHedge(TrackedRequest tracked, long now, boolean overloaded, int free, int slots) {
		return appliesTo(tracked) && tracked.openAttempts.size() == 1 && !overloaded && free >= MIN_FREE_SHARE * slots
				&& !tracked.hedged && tracked.budget.available() && RetryRule.hasTime(tracked, now);
	}

}
