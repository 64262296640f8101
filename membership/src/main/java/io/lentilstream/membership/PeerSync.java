package io.lentilstream.membership;

import java.util.Optional;

import io.lentilstream.model.MonotonicTime;

/**
 * Paces the comparisons with one peer.
 */
final class PeerSync {

	private final MembershipTiming timing;

	private int wanted;

	private MonotonicTime lastFetch;

	private boolean complete;

	PeerSync(MembershipTiming timing) {
		this.timing = timing;
	}

	/**
	 * Asks for a comparison of buckets.
	 * @param buckets the mask of the buckets
	 */
	void want(int buckets) {
		this.wanted |= buckets;
	}

	/**
	 * Returns the buckets to ask for now.
	 * @param now the time
	 * @return the mask, or empty if nothing is wanted or the last comparison is too
	 * recent
	 */
	Optional<Integer> due(MonotonicTime now) {
		if (this.wanted == 0
				|| (this.lastFetch != null && now.isBefore(this.lastFetch.plus(this.timing.fetchInterval())))) {
			return Optional.empty();
		}
		int buckets = this.wanted;
		this.wanted = 0;
		this.lastFetch = now;
		return Optional.of(buckets);
	}

	void completed() {
		this.complete = true;
	}

	boolean isComplete() {
		return this.complete;
	}

}
