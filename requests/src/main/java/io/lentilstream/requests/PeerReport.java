package io.lentilstream.requests;

import java.time.Duration;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.VmId;

/**
 * Is what a peer entry VM reported about a service in its last heartbeat.
 *
 * @param peer the peer
 * @param sameZone whether the peer is in this availability zone; others only get spill
 * @param service the team and service that owns the endpoints
 * @param freeSlots slots that the peer's endpoints of the service have free for urgent
 * work
 * @param estimatedWait the wait that the peer estimates for an urgent request
 * @param roundTrip the round trip to the peer
 * @param receivedAt the instant at which the heartbeat arrived here
 */
public record PeerReport(VmId peer, boolean sameZone, ServiceKey service, int freeSlots, Duration estimatedWait,
		Duration roundTrip, MonotonicTime receivedAt) {
}
