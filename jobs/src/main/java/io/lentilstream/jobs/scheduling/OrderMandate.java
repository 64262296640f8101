package io.lentilstream.jobs.scheduling;

import java.util.function.LongSupplier;

/**
 * Is the right of a scheduler to give orders.
 *
 * @param runFloor run numbers will be above this one; must be above those of all
 * predecessors
 * @param certainUntil until when no successor can have been elected, unless the right was
 * taken away early, on the steady clock in milliseconds. The leases of VMs do not outlast
 * it by more than the longest lease, so that a successor knows when they have ended.
 */
public record OrderMandate(int runFloor, LongSupplier certainUntil) {

	/**
	 * Returns a mandate that never ends.
	 * @param runFloor run numbers will be above this one
	 * @return the mandate
	 */
	public static OrderMandate unlimited(int runFloor) {
		return new OrderMandate(runFloor, () -> Long.MAX_VALUE / 2);
	}

}
