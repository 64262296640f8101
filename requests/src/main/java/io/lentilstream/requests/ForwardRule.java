package io.lentilstream.requests;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the peer that a request is forwarded to when it would wait here. Peers of the
 * zone come first; other zones only get spill, if the service allows it and the wait
 * there plus the round trip is shorter than the wait here.
 */
final class ForwardRule {

	/**
	 * How much shorter a reported wait must be than the wait here; a report is as old as
	 * the last heartbeat, and every peer sees the same one.
	 */
	private static final double WAIT_ADVANTAGE = 0.5;

	private ForwardRule() {
	}

	/**
	 * Chooses a peer.
	 * @param ticket the request
	 * @param now the current instant, in nanoseconds
	 * @param waitNanos the wait here; {@link Long#MAX_VALUE} if no endpoint is owned here
	 * @param peers the peers
	 * @param maxAgeNanos the age from which a report is not used
	 * @param random chooses the two peers to compare
	 * @return the peer, or {@code null} to keep the request here
	 */
	static PeerView choose(Ticket ticket, long now, long waitNanos, List<PeerView> peers, long maxAgeNanos,
			RandomGenerator random) {
		if (ticket.request.forwarded() || ticket.forwardRefused || peers.isEmpty()) {
			return null;
		}
		int start = random.nextInt(peers.size());
		PeerView best = null;
		long bestCost = waitNanos;
		for (int i = 0; i < peers.size(); i++) {
			PeerView peer = peers.get((start + i) % peers.size());
			if (!peer.usable(now, maxAgeNanos) || (!peer.sameZone() && !ticket.policy.spillAllowed())) {
				continue;
			}
			long cost = cost(peer);
			boolean inTime = ticket.deadline - now - cost > ticket.group.medianNanos();
			if (inTime && cost < bestCost && (peer.free() > 0 || cost < WAIT_ADVANTAGE * waitNanos)) {
				best = peer;
				bestCost = cost;
			}
		}
		return best;
	}

	private static long cost(PeerView peer) {
		return peer.roundTripNanos() + ((peer.free() > 0) ? 0 : peer.waitNanos());
	}

}
