package io.lentilstream.membership;

import java.time.Duration;

/**
 * The intervals of heartbeats, failure detection and settings propagation.
 *
 * @param heartbeat time between heartbeats to a peer of the zone
 * @param suspectAfter time without a heartbeat after which a peer of the zone is suspect
 * @param goneAfter time without a heartbeat after which a peer of the zone is gone
 * @param otherZoneFactor how many times longer these times are between zones
 * @param flapWindow time that a peer must stay live until its earlier flaps are forgotten
 * @param fetchInterval shortest time between two comparisons with the same peer
 * @param noticeDelay time between applying documents and telling other watchers
 * @param watchWait longest wait of one watch; short, since a watch whose answer is lost
 * is noticed only after its wait
 * @param watchSpacing shortest time between the starts of two watches
 * @param retryMin minimum delay before a failed store call is retried
 * @param retryMax maximum delay before a failed store call is retried
 * @param relist time between two full reads of a watcher, against watches that miss an
 * event
 * @param startupPeerWait minimum time that a starting process waits for peers before it
 * uses their settings
 */
public record MembershipTiming(Duration heartbeat, Duration suspectAfter, Duration goneAfter, int otherZoneFactor,
		Duration flapWindow, Duration fetchInterval, Duration noticeDelay, Duration watchWait, Duration watchSpacing,
		Duration retryMin, Duration retryMax, Duration relist, Duration startupPeerWait) {

	/**
	 * Returns the defaults. Between zones the factor 5 leaves room below 16 KB/s per node
	 * for other control traffic at 91 entry VMs; the factor 3 used nearly all of it. 5
	 * watch returns per second keep 26 watchers below 130 reads/s; a full read every 30
	 * min keeps its average below 2 KB/s per watcher.
	 * @return the defaults
	 */
	public static MembershipTiming defaults() {
		return new MembershipTiming(Duration.ofSeconds(1), Duration.ofSeconds(3), Duration.ofSeconds(10), 5,
				Duration.ofSeconds(60), Duration.ofSeconds(1), Duration.ofMillis(300), Duration.ofMillis(1_500),
				Duration.ofMillis(200), Duration.ofMillis(200), Duration.ofSeconds(1), Duration.ofMinutes(30),
				Duration.ofSeconds(2));
	}

}
