package io.lentilstream.requests;

import java.time.Duration;

/**
 * The counters of one endpoint pool at an instant. Totals count from the process start.
 *
 * @param service the team and service that owns the endpoints
 * @param slots usable slots of the owned endpoints, as limited by their health
 * @param freeSlots slots free for urgent requests; reported to peers in heartbeats
 * @param inFlight attempts at owned endpoints that still occupy a slot
 * @param stragglers attempts at owned endpoints that are stragglers
 * @param queued queued requests
 * @param estimatedWait the estimated wait of an urgent request that arrives now; reported
 * to peers in heartbeats
 * @param dispatched total of attempts sent to endpoints
 * @param forwarded total of attempts sent to peers
 * @param delivered total of answers delivered to callers
 * @param refused total of requests refused as "not run"
 * @param unknown total of requests reported as "unknown"
 * @param retried total of retries, without hedges
 * @param hedged total of hedges
 * @param discarded total of results that were late, duplicate or of a hedge that lost
 */
public record PoolSnapshot(ServiceKey service, int slots, int freeSlots, int inFlight, int stragglers, int queued,
		Duration estimatedWait, long dispatched, long forwarded, long delivered, long refused, long unknown,
		long retried, long hedged, long discarded) {
}
