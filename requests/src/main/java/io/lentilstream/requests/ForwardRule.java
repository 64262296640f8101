package io.lentilstream.requests;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the peer that a request is forwarded to when it would wait here longer than the
 * way to the peer takes. A peer gets no more requests than it reported free slots, since
 * its reported wait is out of date after the first of them; only an entry VM without
 * endpoints of the service forwards all its requests. Other zones only get requests of
 * services that allow spill.
 */
final class ForwardRule {

	/** Peers that may refuse a request before it only waits here. */
	private static final int MAX_REFUSALS = 2;

	private ForwardRule() {
	}

	/**
	 * Chooses a peer.
	 * @param ticket the request
	 * @param now the current instant, in nanoseconds
	 * @param waitNanos the wait here; {@link Long#MAX_VALUE} if no endpoint is owned here
	 * @param peers the peers
	 * @param maxAgeNanos the age from which a report is not used
	 * @param random spreads the requests over equal peers
	 * @return the peer, or {@code null} to keep the request here
	 */
	static PeerView choose(Ticket ticket, long now, long waitNanos, List<PeerView> peers, long maxAgeNanos,
			RandomGenerator random) {
		if (ticket.request.forwarded() || ticket.forwardRefusals >= MAX_REFUSALS || peers.isEmpty()) {
			return null;
		}
		int start = random.nextInt(peers.size());
		PeerView best = null;
		long bestCost = waitNanos;
		for (int i = 0; i < peers.size(); i++) {
			PeerView peer = peers.get((start + i) % peers.size());
			if (!peer.usable(ticket.isUrgent(), now, maxAgeNanos)
					|| (!peer.sameZone() && !ticket.policy.spillAllowed())) {
				continue;
			}
			long cost = cost(peer);
			boolean room = peer.free() > 0 || waitNanos == Long.MAX_VALUE;
			boolean inTime = ticket.deadline - now - cost > ticket.group.medianNanos();
			if (room && inTime && cost < bestCost) {
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
