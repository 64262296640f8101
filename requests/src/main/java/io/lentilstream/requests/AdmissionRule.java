package io.lentilstream.requests;

import java.util.random.RandomGenerator;

import io.lentilstream.model.NotRunReason;

/**
 * Admission control: decides whether a request that must wait is queued or refused.
 */
final class AdmissionRule {

	private static final long MIN_RETRY_NANOS = 10_000_000L;

	private static final long MAX_RETRY_NANOS = 10_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private AdmissionRule() {
	}

	/**
	 * Returns the reason to refuse a request.
	 * @param tracked the request
	 * @param now the current instant, in nanoseconds
	 * @param waitNanos the estimated wait, in nanoseconds
	 * @param queued the queued requests of the service
	 * @param atQuota whether the team uses all slots of its quota
	 * @return the reason, or {@code null} if the request is admitted
	 */
	static NotRunReason refusal(TrackedRequest tracked, long now, long waitNanos, int queued, boolean atQuota) {
		long left = tracked.deadline - now;
		if (left <= 0) {
			return NotRunReason.DEADLINE_PASSED;
		}
		if (waitNanos > 0 && queued >= tracked.policy.queueLimit()) {
			return atQuota ? NotRunReason.OVER_QUOTA : NotRunReason.QUEUE_FULL;
		}
		if (waitNanos >= left) {
			return atQuota ? NotRunReason.OVER_QUOTA : NotRunReason.DEADLINE_TOO_CLOSE;
		}
		// A group without answers or attempts in flight could never observe that its run
		// time has decreased, so its next request is admitted.
		boolean timeKnown = tracked.group.observed() && tracked.group.inFlight() > 0;
		if (timeKnown && waitNanos + tracked.group.medianNanos() > left) {
			return NotRunReason.DEADLINE_TOO_CLOSE;
		}
		return null;
	}

	/**
	 * Returns the delay after which a retry is useful: when the estimated wait should
	 * have fallen below the time that the request had left. A random part of up to the
	 * same length is added, so that refused callers do not all retry at once.
	 * @param tracked the refused request
	 * @param now the current instant, in nanoseconds
	 * @param waitNanos the estimated wait, in nanoseconds
	 * @param random the source of the jitter
	 * @return the delay, in milliseconds
	 */
	static long retryAfterMillis(TrackedRequest tracked, long now, long waitNanos, RandomGenerator random) {
		long missing = Math.min(MAX_RETRY_NANOS, waitNanos) + tracked.group.medianNanos()
				- Math.max(0, tracked.deadline - now);
		long base = Math.max(MIN_RETRY_NANOS, Math.min(MAX_RETRY_NANOS, missing));
		return (base + (long) (base * random.nextDouble())) / NANOS_PER_MILLI;
	}

}
