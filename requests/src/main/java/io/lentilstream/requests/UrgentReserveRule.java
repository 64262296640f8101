package io.lentilstream.requests;

/**
 * Limits the slots of non-urgent requests so that urgent requests find a free slot. The
 * reserve follows the smoothed demand of urgent requests plus a margin for its random
 * variation, which is about the square root of the demand.
 */
final class UrgentReserveRule {

	/**
	 * Time constant of the smoothing. It is shorter than the 2 s in which demand may grow
	 * fourfold, and longer than the run times of urgent requests, so that the limit does
	 * not oscillate with them. Smoothing rises over 50 ms and falls over 2 s reserved
	 * more slots for the same urgent wait.
	 */
	private static final double SMOOTHING_NANOS = 300e6;

	/**
	 * Standard deviations of the demand that are reserved above its mean. A value of 1.5
	 * reduced non-urgent work at the peak by another 5% to 7%, although the urgent wait
	 * was already shorter than that of a central queue.
	 */
	private static final double DEVIATIONS = 1;

	/**
	 * Share of the slots that non-urgent requests never use, so that a first burst of
	 * urgent requests finds free slots.
	 */
	private static final double MIN_RESERVE = 0.05;

	/**
	 * Share of the slots always available to non-urgent requests, to prevent starvation.
	 */
	private static final double MIN_NON_URGENT_SHARE = 0.05;

	private double demand;

	private long updatedAt;

	private boolean started;

	/**
	 * Records the current demand of urgent requests.
	 * @param now the current instant, in nanoseconds
	 * @param slotsWanted urgent attempts in flight plus queued urgent requests
	 */
	void observeDemand(long now, int slotsWanted) {
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
	 * Returns the number of slots that non-urgent requests may use.
	 * @param slots the usable slots of the pool
	 * @return the number of slots; at least 1 if the pool has one
	 */
	int nonUrgentLimit(int slots) {
		double reserve = Math.max(this.demand + DEVIATIONS * Math.sqrt(this.demand), MIN_RESERVE * slots);
		double least = Math.max(1, MIN_NON_URGENT_SHARE * slots);
		return (int) Math.min(slots, Math.max(least, slots - Math.ceil(reserve)));
	}

}
