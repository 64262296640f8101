package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.model.Urgency;

/**
 * Run time statistics of a pool, grouped by service, urgency and declared run time.
 */
final class RunTimeEstimator {

	/** Rate at which stragglers release slots, relative to other attempts. */
	private static final double STRAGGLER_RELEASE_RATIO = 0.1;

	private final Map<GroupKey, RunTimeGroup> groups = new HashMap<>();

	private final List<RunTimeGroup> urgent = new ArrayList<>();

	private final List<RunTimeGroup> nonUrgent = new ArrayList<>();

	/**
	 * Returns the group of a request, creating it if necessary. Declared run times are
	 * grouped by powers of two, so an inaccurate value at most selects another group.
	 * @param policy the policy of the service
	 * @param urgency the urgency of the request
	 * @param declaredMillis the declared run time in milliseconds, or 0
	 * @return the group
	 */
	RunTimeGroup group(ServicePolicy policy, Urgency urgency, long declaredMillis) {
		int size = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, declaredMillis));
		return this.groups.computeIfAbsent(new GroupKey(policy.service(), urgency, size), (key) -> {
			RunTimeGroup group = new RunTimeGroup(policy.expectedTime().toNanos());
			((urgency == Urgency.URGENT) ? this.urgent : this.nonUrgent).add(group);
			return group;
		});
	}

	/**
	 * Estimates the rate at which urgent attempts release slots.
	 * @return the rate, in slots per nanosecond
	 */
	double urgentReleaseRate() {
		return rate(this.urgent);
	}

	/**
	 * Estimates the rate at which all other attempts release slots.
	 * @return the rate, in slots per nanosecond
	 */
	double nonUrgentReleaseRate() {
		return rate(this.nonUrgent);
	}

	private static double rate(List<RunTimeGroup> groups) {
		double rate = 0;
		for (RunTimeGroup group : groups) {
			rate += (group.inFlight() - (1 - STRAGGLER_RELEASE_RATIO) * group.stragglers()) / group.meanNanos();
		}
		return rate;
	}

	private record GroupKey(ServiceKey service, Urgency urgency, int size) {
	}

}
