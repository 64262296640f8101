package io.lentilstream.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.model.Revision;
import io.lentilstream.wire.SettingsDigest;

/**
 * The settings documents in force, with their digest and a bounded history of earlier
 * digests. A peer whose digest occurs in the history has nothing that this process lacks,
 * so it does not have to be compared.
 */
final class DocumentSet {

	/**
	 * Maximum number of earlier sums kept per bucket.
	 */
	private static final int MAX_SUMS_PER_BUCKET = 256;

	/**
	 * Maximum number of applied revisions kept for one document.
	 */
	private static final int MAX_REVISIONS_PER_DOCUMENT = 16;

	private final Map<StoreKey, SettingsDocument> documents = new TreeMap<>();

	private final Map<StoreKey, Deque<AppliedRevision>> appliedRevisions = new HashMap<>();

	private final List<Long> bucketSums = new ArrayList<>();

	private final List<Map<Long, Long>> sumHistory = new ArrayList<>();

	private long applyCount;

	DocumentSet() {
		for (int i = 0; i < SettingsDigest.BUCKETS; i++) {
			this.bucketSums.add(0L);
			this.sumHistory.add(new LinkedHashMap<>(Map.of(0L, 0L)));
		}
	}

	/**
	 * Applies a document if its revision is higher than the one in force.
	 * @param document the document
	 * @return whether the document was applied
	 */
	boolean apply(SettingsDocument document) {
		long before = revisionOf(document.key()).value();
		long revision = document.revision().value();
		if (revision <= before) {
			return false;
		}
		String path = document.key().path();
		int bucket = SettingsDigest.bucketOf(path);
		long sum = this.bucketSums.get(bucket) + SettingsDigest.entryHash(path, revision);
		sum -= (before > 0) ? SettingsDigest.entryHash(path, before) : 0;
		this.bucketSums.set(bucket, sum);
		this.documents.put(document.key(), document);
		this.applyCount++;
		recordBucketSum(bucket, sum);
		Deque<AppliedRevision> revisions = this.appliedRevisions.computeIfAbsent(document.key(),
				(key) -> new ArrayDeque<>());
		revisions.addLast(new AppliedRevision(revision, this.applyCount));
		if (revisions.size() > MAX_REVISIONS_PER_DOCUMENT) {
			revisions.removeFirst();
		}
		return true;
	}

	Revision revisionOf(StoreKey key) {
		SettingsDocument document = this.documents.get(key);
		return (document != null) ? document.revision() : Revision.NONE;
	}

	Optional<SettingsDocument> document(StoreKey key) {
		return Optional.ofNullable(this.documents.get(key));
	}

	Collection<SettingsDocument> all() {
		return this.documents.values();
	}

	SettingsDigest digest() {
		return new SettingsDigest(this.bucketSums);
	}

	/**
	 * Returns the revisions in force of the documents in the given buckets.
	 * @param buckets the mask of the buckets
	 * @return revisions by document path
	 */
	Map<String, Long> revisionsByPath(int buckets) {
		Map<String, Long> revisions = new HashMap<>();
		for (SettingsDocument document : this.documents.values()) {
			if (isInBuckets(document.key(), buckets)) {
				revisions.put(document.key().path(), document.revision().value());
			}
		}
		return revisions;
	}

	/**
	 * Returns the buckets in which a peer may have a newer document than this process:
	 * those whose sum differs and is not in the history.
	 * @param other the digest of the peer
	 * @return the mask of the buckets
	 */
	int possiblyNewerBuckets(SettingsDigest other) {
		int mask = digest().differingBuckets(other);
		for (int i = 0; i < SettingsDigest.BUCKETS; i++) {
			if (this.sumHistory.get(i).containsKey(other.buckets().get(i))) {
				mask &= ~(1 << i);
			}
		}
		return mask;
	}

	/**
	 * Returns whether a peer with the given digest has at least a revision in force.
	 * @param key the key of the document
	 * @param revision the revision
	 * @param other the digest of the peer
	 * @return whether it has, or empty if the history lacks the bucket sum of the peer
	 */
	Optional<Boolean> hasInForce(StoreKey key, Revision revision, SettingsDigest other) {
		int bucket = SettingsDigest.bucketOf(key.path());
		Long peerApplyNumber = this.sumHistory.get(bucket).get(other.buckets().get(bucket));
		if (peerApplyNumber == null) {
			return Optional.empty();
		}
		for (AppliedRevision candidate : this.appliedRevisions.getOrDefault(key, new ArrayDeque<>())) {
			if (candidate.revision() >= revision.value()) {
				return Optional.of(peerApplyNumber >= candidate.applyNumber());
			}
		}
		return Optional.of(false);
	}

	static boolean isInBuckets(StoreKey key, int buckets) {
		return (buckets & (1 << SettingsDigest.bucketOf(key.path()))) != 0;
	}

	private void recordBucketSum(int bucket, long sum) {
		Map<Long, Long> sums = this.sumHistory.get(bucket);
		sums.put(sum, this.applyCount);
		if (sums.size() > MAX_SUMS_PER_BUCKET) {
			sums.remove(sums.keySet().iterator().next());
		}
	}

	/**
	 * An applied revision of a document.
	 *
	 * @param revision the revision
	 * @param applyNumber the value of {@code applyCount} after the revision was applied
	 */
	private record AppliedRevision(long revision, long applyNumber) {
	}

}
