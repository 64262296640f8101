package io.lentilstream.requests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.model.Urgency;

/**
 * Keeps the learned run times of a pool, by service, urgency and declared size.
 */
final class RunTimeEstimator {

	/** How fast stragglers free their slots, compared to other attempts. */
	private static final double OVERDUE_RATE = 0.1;

	private final Map<GroupKey, RunTimeGroup> groups = new HashMap<>();

	private final List<RunTimeGroup> urgent = new ArrayList<>();

	private final List<RunTimeGroup> quiet = new ArrayList<>();

	/**
	 * Returns the group that a request is learned with. Declared times are grouped by
	 * powers of two, so their error only shifts the group.
	 * @param policy the policy of the service
	 * @param urgency the urgency of the request
	 * @param declaredMillis the declared run time, or 0
	 * @return the group
	 */
	RunTimeGroup group(ServicePolicy policy, Urgency urgency, long declaredMillis) {
		int size = Long.SIZE - Long.numberOfLeadingZeros(Math.max(0, declaredMillis));
		return this.groups.computeIfAbsent(new GroupKey(policy.service(), urgency, size), (key) -> {
			RunTimeGroup group = new RunTimeGroup(policy.expectedTime().toNanos());
			((urgency == Urgency.URGENT) ? this.urgent : this.quiet).add(group);
			return group;
		});
	}

	/**
	 * Estimates how many slots urgent work frees per nanosecond.
	 * @return slots per nanosecond
	 */
	double urgentReleaseRate() {
		return rate(this.urgent);
	}

	/**
	 * Estimates how many slots other work frees per nanosecond.
	 * @return slots per nanosecond
	 */
	double quietReleaseRate() {
		return rate(this.quiet);
	}

	private static double rate(List<RunTimeGroup> groups) {
		double rate = 0;
		for (RunTimeGroup group : groups) {
			rate += (group.inFlight() - (1 - OVERDUE_RATE) * group.overdue()) / group.meanNanos();
		}
		return rate;
	}

	private record GroupKey(ServiceKey service, Urgency urgency, int size) {
	}

}
