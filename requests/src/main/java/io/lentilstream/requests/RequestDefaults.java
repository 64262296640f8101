package io.lentilstream.requests;

import java.time.Duration;

/**
 * Holds the settings that apply to every service, and their default values.
 *
 * @param peerReportAge the age from which a peer's report is no longer used
 * @param slotHoldMargin how long after its deadline an attempt without a result still
 * holds its slot; covers the way of the request to the endpoint
 * @param leavingHold how long an endpoint that refused as leaving gets no work although
 * the live list shows it as live
 * @param baselineHold how long the in-flight count of earlier owners holds slots
 * @param drainGrace how long queued requests may still start after a drain began
 */
public record RequestDefaults(Duration peerReportAge, Duration slotHoldMargin, Duration leavingHold,
		Duration baselineHold, Duration drainGrace) {

	/**
	 * Requests of a service that may wait at one entry VM.
	 */
	public static final int QUEUE_LIMIT = 2_000;

	/**
	 * Retries and hedges per first attempt.
	 */
	public static final double RETRY_BUDGET = 0.1;

	/**
	 * Returns the default settings.
	 * @return the defaults
	 */
	public static RequestDefaults standard() {
		return new RequestDefaults(Duration.ofSeconds(2), Duration.ofMillis(50), Duration.ofSeconds(30),
				Duration.ofSeconds(30), Duration.ofSeconds(2));
	}

}
