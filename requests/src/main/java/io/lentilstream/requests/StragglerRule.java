package io.lentilstream.requests;

/**
 * Limits the slots that stragglers occupy. While stragglers occupy their maximum share of
 * the pool, no non-urgent request of a group that has stragglers is dispatched, so the
 * remaining slots stay available to other requests.
 */
final class StragglerRule {

	/**
	 * Run time, in medians of its group, from which an attempt is a straggler.
	 */
	static final int STRAGGLER_MEDIANS = 6;

	/**
	 * Share of the slots of a pool that stragglers may occupy. With 1% of the requests at
	 * 50 times the median, a third of the attempts in flight are stragglers; a share of
	 * 0.3 stopped non-urgent requests while slots were free.
	 */
	static final double MAX_STRAGGLER_SHARE = 0.5;

	private StragglerRule() {
	}

	/**
	 * Returns the run time after which an attempt is a straggler.
	 * @param group the group of its request
	 * @return the run time, in nanoseconds
	 */
	static long thresholdNanos(RunTimeGroup group) {
		return Math.max(1, STRAGGLER_MEDIANS * group.medianNanos());
	}

	/**
	 * Returns whether a request must wait until stragglers end.
	 * @param group the group of the request
	 * @param stragglers the slots that stragglers occupy in the pool
	 * @param slots the usable slots of the pool
	 * @return {@code true} if the request may not be dispatched now
	 */
	static boolean mustWait(RunTimeGroup group, int stragglers, int slots) {
		return group.stragglers() > 0 && stragglers >= Math.max(1, MAX_STRAGGLER_SHARE * slots);
	}

}
