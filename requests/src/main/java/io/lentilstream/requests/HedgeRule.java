package io.lentilstream.requests;

/**
 * Decides when a slow attempt gets a second one beside it at another endpoint.
 */
final class HedgeRule {

	/** Share of the slots that must be free, so that hedges never add to an overload. */
	private static final double MIN_FREE_SHARE = 0.2;

	private HedgeRule() {
	}

	static boolean appliesTo(Ticket ticket) {
		return ticket.repeatable && ticket.policy.hedgingAllowed();
	}

	/**
	 * Returns after which time an attempt is hedged: 95% of the group are answered by
	 * then.
	 * @param group the group of the request
	 * @return nanoseconds
	 */
	static long delayNanos(RunTimeGroup group) {
		return Math.max(1, group.highNanos());
	}

	static boolean mayHedge(Ticket ticket, long now, boolean overloaded, int free, int slots) {
		return appliesTo(ticket) && ticket.open.size() == 1 && !overloaded && free >= MIN_FREE_SHARE * slots
				&& !ticket.hedged && ticket.budget.available() && RetryRule.hasTime(ticket, now);
	}

}
