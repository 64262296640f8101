package io.lentilstream.standin;

import java.time.Duration;
import java.util.Optional;

/**
 * Is what one endpoint did.
 *
 * @param runs requests that it ran
 * @param refusals requests that it refused
 * @param highestRunning the highest number of requests that ran at once
 * @param highestOpen the highest number of requests without a complete answer at once
 * @param lastWorkAfterLeaving time from its mark as leaving to the last request that it
 * ran, if it ran one
 */
public record EndpointRecord(long runs, long refusals, int highestRunning, int highestOpen,
		Optional<Duration> lastWorkAfterLeaving) {
}
