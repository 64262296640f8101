package io.lentilstream.requests;

/**
 * Limits the slots of batch work so that urgent work finds a free slot. The limit follows
 * the smoothed demand of urgent work, plus room for its random variation, which is about
 * the square root of the demand.
 */
final class UrgentReserveRule {

	/**
	 * Shorter than the 2 s in which demand may grow fourfold, and longer than the runs of
	 * urgent work, so that the limit does not swing with them. A rise within 50 ms with a
	 * fall within 2 s kept more slots from batch work for the same wait.
	 */
	private static final double SMOOTHING_NANOS = 300e6;

	/**
	 * Standard deviations of the demand that are kept free above its mean. With 1.5,
	 * batch work at the peak fell by another 5% to 7% for a wait that was already shorter
	 * than that of the central queue.
	 */
	private static final double DEVIATIONS = 1;

	/**
	 * Slots of the pool that batch work never takes, so that a first burst finds room.
	 */
	private static final double MIN_RESERVE = 0.05;

	/** Slots of the pool that batch work keeps, so that it never stops altogether. */
	private static final double MIN_QUIET_SHARE = 0.05;

	private double demand;

	private long updatedAt;

	private boolean started;

	/**
	 * Takes in the demand of urgent work.
	 * @param now the current instant, in nanoseconds
	 * @param slotsWanted urgent attempts in flight and urgent requests waiting
	 */
	void observe(long now, int slotsWanted) {
		if (!this.started) {
			this.started = true;
			this.updatedAt = now;
			this.demand = slotsWanted;
			return;
		}
		double elapsed = Math.max(0, now - this.updatedAt);
		this.demand += (slotsWanted - this.demand) * elapsed / (elapsed + SMOOTHING_NANOS);
		this.updatedAt = now;
	}

	/**
	 * Returns the slots that batch work may use.
	 * @param slots the slots of the pool that can be used
	 * @return slots; at least 1 if the pool has one
	 */
	int quietLimit(int slots) {
		double reserve = Math.max(this.demand + DEVIATIONS * Math.sqrt(this.demand), MIN_RESERVE * slots);
		double least = Math.max(1, MIN_QUIET_SHARE * slots);
		return (int) Math.min(slots, Math.max(least, slots - Math.ceil(reserve)));
	}

}
