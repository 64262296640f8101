package io.lentilstream.requests;

import java.time.Duration;

/**
 * Holds the counts of one pool of endpoints at an instant.
 *
 * @param service the team and service that owns the endpoints
 * @param slots slots of the owned endpoints that take work
 * @param freeSlots slots that are free for an urgent request; goes into heartbeats
 * @param inFlight attempts at owned endpoints that still hold a slot
 * @param stragglers attempts at owned endpoints past their expected time
 * @param queued requests that wait
 * @param estimatedWait the wait of an urgent request that arrives now; goes into
 * heartbeats
 * @param dispatched attempts sent to endpoints so far
 * @param forwarded attempts sent to peers so far
 * @param delivered answers passed on so far
 * @param refused requests refused as "not run" so far
 * @param unknown requests reported as "unknown" so far
 * @param retried attempts after the first one of a request so far, without hedges
 * @param hedged attempts beside a running one so far
 * @param discarded results that arrived late, twice or for a hedged loser so far
 */
public record PoolSnapshot(ServiceKey service, int slots, int freeSlots, int inFlight, int stragglers, int queued,
		Duration estimatedWait, long dispatched, long forwarded, long delivered, long refused, long unknown,
		long retried, long hedged, long discarded) {
}
