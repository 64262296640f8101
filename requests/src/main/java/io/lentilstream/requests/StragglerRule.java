package io.lentilstream.requests;

/**
 * Bounds the slots that work past its expected time holds. While stragglers hold their
 * share of the pool, batch work of the groups that produced them starts nothing new, so
 * other work keeps the rest of the slots.
 */
final class StragglerRule {

	/** A run longer than this many medians of its group is a straggler. */
	static final int OVERDUE_MEDIANS = 6;

	/**
	 * Share of the slots of a pool that stragglers may hold. With 1% of the requests at
	 * 50x, stragglers are a third of the running work; 0.3 stopped batch work while slots
	 * were free.
	 */
	static final double MAX_SHARE = 0.5;

	private StragglerRule() {
	}

	/**
	 * Returns the run time after which an attempt is a straggler.
	 * @param group the group of its request
	 * @return nanoseconds
	 */
	static long overdueAfterNanos(RunTimeGroup group) {
		return Math.max(1, OVERDUE_MEDIANS * group.medianNanos());
	}

	/**
	 * Tells whether a request has to wait until stragglers end.
	 * @param group the group of the request
	 * @param stragglers slots that stragglers hold in the pool
	 * @param slots the slots of the pool
	 * @return {@code true} if the request may not start now
	 */
	static boolean holdsBack(RunTimeGroup group, int stragglers, int slots) {
		return group.overdue() > 0 && stragglers >= Math.max(1, MAX_SHARE * slots);
	}

}
