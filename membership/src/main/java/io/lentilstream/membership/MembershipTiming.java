package io.lentilstream.membership;

import java.time.Duration;

/**
 * The intervals and timeouts of heartbeats, failure detection and settings propagation.
 *
 * @param heartbeatInterval time between heartbeats to a peer of the same zone
 * @param suspectAfter time without a heartbeat after which a peer of the zone is suspect
 * @param goneAfter time without a heartbeat after which a peer of the zone is gone
 * @param otherZoneFactor factor by which these three times are longer between zones
 * @param flapResetAfter time that a peer must stay live until its flap count is reset
 * @param minFetchInterval minimum time between two comparisons with the same peer
 * @param noticeDelay time between applying a document and notifying other watchers, which
 * combines several documents in one notice
 * @param maxWatchWait maximum wait of one watch; short, since the loss of the reply is
 * detected only after the wait
 * @param minWatchInterval minimum time between the starts of two watches
 * @param initialRetryDelay upper limit of the first delay after a failed store call
 * @param maxRetryDelay upper limit of every delay after a failed store call
 * @param relistInterval time between two periodic full reads by a watcher before jitter;
 * they find events that the watches missed
 * @param startupPeerWait minimum time that a starting process waits for peers before it
 * uses their settings
 */
public record MembershipTiming(Duration heartbeatInterval, Duration suspectAfter, Duration goneAfter,
		int otherZoneFactor, Duration flapResetAfter, Duration minFetchInterval, Duration noticeDelay,
		Duration maxWatchWait, Duration minWatchInterval, Duration initialRetryDelay, Duration maxRetryDelay,
		Duration relistInterval, Duration startupPeerWait) {

	/**
	 * Returns the defaults. With 91 entry VMs and the factor 5 between zones, heartbeats
	 * leave part of the 16 KB/s per node to other control traffic; the factor 3 used
	 * nearly all of it. 5 watches per second keep 26 watchers below 130 reads/s. A full
	 * read every 30 min averages below 2 KB/s per watcher.
	 * @return the defaults
	 */
	public static MembershipTiming defaults() {
		return new MembershipTiming(Duration.ofSeconds(1), Duration.ofSeconds(3), Duration.ofSeconds(10), 5,
				Duration.ofSeconds(60), Duration.ofSeconds(1), Duration.ofMillis(300), Duration.ofMillis(1_500),
				Duration.ofMillis(200), Duration.ofMillis(200), Duration.ofSeconds(1), Duration.ofMinutes(30),
				Duration.ofSeconds(2));
	}

}
