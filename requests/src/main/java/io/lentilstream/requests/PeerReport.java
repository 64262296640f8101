package io.lentilstream.requests;

import java.time.Duration;

import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.VmId;

/**
 * The state of a service as a peer entry VM reported it in its last heartbeat.
 *
 * @param peer the peer
 * @param sameZone whether the peer is in this availability zone; peers in other zones
 * receive only spill
 * @param service the team and service that owns the endpoints
 * @param freeSlots free slots for urgent requests at the peer's endpoints of the service
 * @param estimatedWait the wait of an urgent request as estimated by the peer
 * @param roundTrip the round trip to the peer
 * @param receivedAt the instant at which the heartbeat arrived here
 */
public record PeerReport(VmId peer, boolean sameZone, ServiceKey service, int freeSlots, Duration estimatedWait,
		Duration roundTrip, MonotonicTime receivedAt) {
}
