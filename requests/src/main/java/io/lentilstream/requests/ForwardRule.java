package io.lentilstream.requests;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects the peer to forward a request to when its estimated wait here exceeds the cost
 * of forwarding. A peer is sent no more requests than the free slots it reported, because
 * its reported wait is outdated after the first of them; only an entry VM that owns no
 * endpoint of the service forwards all its requests. Peers in other zones receive only
 * requests of services that allow spill.
 */
final class ForwardRule {

	/** Refusals by peers after which a request is no longer forwarded. */
	private static final int MAX_REFUSALS = 2;

	private ForwardRule() {
	}

	/**
	 * Returns the peer with the lowest cost.
	 * @param tracked the request
	 * @param now the current instant, in nanoseconds
	 * @param waitNanos the estimated wait here, in nanoseconds; {@link Long#MAX_VALUE} if
	 * no endpoint here accepts work
	 * @param peers the peers
	 * @param maxAgeNanos the maximum age of a peer report, in nanoseconds
	 * @param random the source of randomness that spreads requests over equal peers
	 * @return the peer, or {@code null} to keep the request here
	 */
	static PeerView choosePeer(TrackedRequest tracked, long now, long waitNanos, List<PeerView> peers, long maxAgeNanos,
			RandomGenerator random) {
		if (tracked.request.forwarded() || tracked.peerRefusals >= MAX_REFUSALS || peers.isEmpty()) {
			return null;
		}
		int start = random.nextInt(peers.size());
		PeerView best = null;
		long bestCost = waitNanos;
		for (int i = 0; i < peers.size(); i++) {
			PeerView peer = peers.get((start + i) % peers.size());
			if (!peer.usable(tracked.isUrgent(), now, maxAgeNanos)
					|| (!peer.sameZone() && !tracked.policy.spillAllowed())) {
				continue;
			}
			long cost = cost(peer);
			boolean room = peer.freeSlots() > 0 || waitNanos == Long.MAX_VALUE;
			boolean inTime = tracked.deadline - now - cost > tracked.group.medianNanos();
			if (room && inTime && cost < bestCost) {
				best = peer;
				bestCost = cost;
			}
		}
		return best;
	}

	private static long cost(PeerView peer) {
		return peer.roundTripNanos() + ((peer.freeSlots() > 0) ? 0 : peer.waitNanos());
	}

}
