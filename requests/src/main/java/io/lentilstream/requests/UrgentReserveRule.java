package io.lentilstream.requests;

/**
 * Limits the slots of batch work so that urgent work finds a free slot. The limit follows
 * the demand of urgent work: within {@link #RISE_NANOS} when it rises, slowly when it
 * falls. The slow way back keeps the limit from swinging with the demand.
 */
final class UrgentReserveRule {

	/** Shorter than the 2 s in which demand may grow fourfold. */
	private static final double RISE_NANOS = 50e6;

	private static final double FALL_NANOS = 2e9;

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
		double period = (slotsWanted > this.demand) ? RISE_NANOS : FALL_NANOS;
		this.demand += (slotsWanted - this.demand) * elapsed / (elapsed + period);
		this.updatedAt = now;
	}

	/**
	 * Returns the slots that batch work may use.
	 * @param slots the slots of the pool that can be used
	 * @return slots; at least 1 if the pool has one
	 */
	int quietLimit(int slots) {
		double reserve = Math.max(this.demand, MIN_RESERVE * slots);
		double least = Math.max(1, MIN_QUIET_SHARE * slots);
		return (int) Math.min(slots, Math.max(least, slots - Math.ceil(reserve)));
	}

}
