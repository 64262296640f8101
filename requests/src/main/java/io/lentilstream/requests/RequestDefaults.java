package io.lentilstream.requests;

import java.time.Duration;

/**
 * Settings of the scheduler that apply to every service, and default values of policies.
 *
 * @param maxPeerReportAge the maximum age of a peer report
 * @param slotReleaseDelay how long after its deadline an attempt without a result keeps
 * its slot; allows for the network delay to the endpoint
 * @param leavingExclusion how long an endpoint that refused a request because it is
 * leaving gets no requests, even if the platform lists it as live
 * @param inheritedSlotTimeout maximum time for which attempts inherited from earlier
 * owners occupy slots
 * @param drainGrace how long queued requests are still dispatched during a drain
 */
public record RequestDefaults(Duration maxPeerReportAge, Duration slotReleaseDelay, Duration leavingExclusion,
		Duration inheritedSlotTimeout, Duration drainGrace) {

	/**
	 * Default limit of the queued requests of a service at one entry VM.
	 */
	public static final int QUEUE_LIMIT = 2_000;

	/**
	 * Default of the retries and hedges allowed per first attempt.
	 */
	public static final double RETRY_BUDGET = 0.1;

	/**
	 * Returns the default settings.
	 * @return the defaults
	 */
	public static RequestDefaults defaults() {
		return new RequestDefaults(Duration.ofSeconds(2), Duration.ofMillis(50), Duration.ofSeconds(30),
				Duration.ofSeconds(30), Duration.ofSeconds(2));
	}

}
