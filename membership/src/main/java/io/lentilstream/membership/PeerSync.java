package io.lentilstream.membership;

import java.util.Optional;

import io.lentilstream.model.MonotonicTime;

/**
 * Collects the buckets to compare with one peer, and limits the rate of comparisons.
 */
final class PeerSync {

	private final MembershipTiming timing;

	private int requestedBuckets;

	private MonotonicTime lastComparison;

	private boolean complete;

	PeerSync(MembershipTiming timing) {
		this.timing = timing;
	}

	/**
	 * Adds buckets to the next comparison.
	 * @param buckets the mask of the buckets
	 */
	void requestBuckets(int buckets) {
		this.requestedBuckets |= buckets;
	}

	/**
	 * Returns the buckets to compare now and starts the next interval.
	 * @param now the time
	 * @return the mask, or empty if no bucket was requested or it is too early
	 */
	Optional<Integer> pollDueBuckets(MonotonicTime now) {
		if (this.requestedBuckets == 0 || (this.lastComparison != null
				&& now.isBefore(this.lastComparison.plus(this.timing.minFetchInterval())))) {
			return Optional.empty();
		}
		int buckets = this.requestedBuckets;
		this.requestedBuckets = 0;
		this.lastComparison = now;
		return Optional.of(buckets);
	}

	/**
	 * Records that this process has received all documents of the peer.
	 */
	void markComplete() {
		this.complete = true;
	}

	boolean isComplete() {
		return this.complete;
	}

}
