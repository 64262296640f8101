package io.lentilstream.requests;

import java.util.random.RandomGenerator;

import io.lentilstream.model.NotRunReason;

/**
 * Decides whether a request that has to wait may join the queue.
 */
final class AdmissionRule {

	private static final long MIN_RETRY_NANOS = 10_000_000L;

	private static final long MAX_RETRY_NANOS = 10_000_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private AdmissionRule() {
	}

	/**
	 * Tells why a request is refused.
	 * @param ticket the request
	 * @param now the current instant, in nanoseconds
	 * @param waitNanos the estimated wait
	 * @param queued requests of the service that wait
	 * @param atQuota whether the team uses all slots of its quota
	 * @return the reason, or {@code null} if the request is admitted
	 */
	static NotRunReason refusal(Ticket ticket, long now, long waitNanos, int queued, boolean atQuota) {
		long left = ticket.deadline - now;
		if (left <= 0) {
			return NotRunReason.DEADLINE_PASSED;
		}
		if (waitNanos > 0 && queued >= ticket.policy.queueLimit()) {
			return atQuota ? NotRunReason.OVER_QUOTA : NotRunReason.QUEUE_FULL;
		}
		if (waitNanos >= left) {
			return atQuota ? NotRunReason.OVER_QUOTA : NotRunReason.DEADLINE_TOO_CLOSE;
		}
		// A group without answers, or without one on the way, could never learn that its
		// run time became shorter, so its next request is let in.
		boolean timeKnown = ticket.group.observed() && ticket.group.inFlight() > 0;
		if (timeKnown && waitNanos + ticket.group.medianNanos() > left) {
			return NotRunReason.DEADLINE_TOO_CLOSE;
		}
		return null;
	}

	/**
	 * Returns when a new try makes sense: once the wait fits the time that the request
	 * had. Half of it is random, so that refused callers do not return at once.
	 * @param ticket the refused request
	 * @param now the current instant, in nanoseconds
	 * @param waitNanos the estimated wait
	 * @param random spreads the retries
	 * @return milliseconds
	 */
	static long retryAfterMillis(Ticket ticket, long now, long waitNanos, RandomGenerator random) {
		long missing = Math.min(MAX_RETRY_NANOS, waitNanos) + ticket.group.medianNanos()
				- Math.max(0, ticket.deadline - now);
		long base = Math.max(MIN_RETRY_NANOS, Math.min(MAX_RETRY_NANOS, missing));
		return (base + (long) (base * random.nextDouble())) / NANOS_PER_MILLI;
	}

}
