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
 * The documents in force, their digest, and the earlier digests of this process. A peer
 * whose digest is one of the earlier ones is behind this process; no comparison is needed
 * to detect this.
 */
final class DocumentSet {

	/**
	 * Earlier digests that are kept per bucket.
	 */
	private static final int HISTORY = 256;

	/**
	 * Revisions per document whose place in the history is kept.
	 */
	private static final int REVISIONS = 16;

	private final Map<StoreKey, SettingsDocument> documents = new TreeMap<>();

	private final Map<StoreKey, Deque<Applied>> applied = new HashMap<>();

	private final List<Long> sums = new ArrayList<>();

	private final List<Map<Long, Long>> history = new ArrayList<>();

	private long steps;

	DocumentSet() {
		for (int i = 0; i < SettingsDigest.BUCKETS; i++) {
			this.sums.add(0L);
			this.history.add(new LinkedHashMap<>(Map.of(0L, 0L)));
		}
	}

	/**
	 * Applies a document if its revision is higher than the one in force.
	 * @param document the document
	 * @return whether it is in force from now on
	 */
	boolean apply(SettingsDocument document) {
		long before = revisionOf(document.key()).value();
		long revision = document.revision().value();
		if (revision <= before) {
			return false;
		}
		String path = document.key().path();
		int bucket = SettingsDigest.bucketOf(path);
		long sum = this.sums.get(bucket) + SettingsDigest.entryHash(path, revision);
		sum -= (before > 0) ? SettingsDigest.entryHash(path, before) : 0;
		this.sums.set(bucket, sum);
		this.documents.put(document.key(), document);
		this.steps++;
		remember(bucket, sum);
		Deque<Applied> places = this.applied.computeIfAbsent(document.key(), (key) -> new ArrayDeque<>());
		places.addLast(new Applied(revision, this.steps));
		if (places.size() > REVISIONS) {
			places.removeFirst();
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
		return new SettingsDigest(this.sums);
	}

	Map<String, Long> held(int buckets) {
		Map<String, Long> held = new HashMap<>();
		for (SettingsDocument document : this.documents.values()) {
			if (isIn(document.key(), buckets)) {
				held.put(document.key().path(), document.revision().value());
			}
		}
		return held;
	}

	/**
	 * Returns the buckets in which a peer may have something that this process lacks.
	 * @param other the digest of the peer
	 * @return the mask of the buckets
	 */
	int unknownBuckets(SettingsDigest other) {
		int mask = digest().differingBuckets(other);
		for (int i = 0; i < SettingsDigest.BUCKETS; i++) {
			if (this.history.get(i).containsKey(other.buckets().get(i))) {
				mask &= ~(1 << i);
			}
		}
		return mask;
	}

	/**
	 * Returns whether a peer with the given digest has a revision in force.
	 * @param key the key of the document
	 * @param revision the revision
	 * @param other the digest of the peer
	 * @return whether it has, or empty if this cannot be told
	 */
	Optional<Boolean> hasInForce(StoreKey key, Revision revision, SettingsDigest other) {
		int bucket = SettingsDigest.bucketOf(key.path());
		Long place = this.history.get(bucket).get(other.buckets().get(bucket));
		if (place == null) {
			return Optional.empty();
		}
		for (Applied candidate : this.applied.getOrDefault(key, new ArrayDeque<>())) {
			if (candidate.revision() >= revision.value()) {
				return Optional.of(place >= candidate.step());
			}
		}
		return Optional.of(false);
	}

	static boolean isIn(StoreKey key, int buckets) {
		return (buckets & (1 << SettingsDigest.bucketOf(key.path()))) != 0;
	}

	private void remember(int bucket, long sum) {
		Map<Long, Long> earlier = this.history.get(bucket);
		earlier.put(sum, this.steps);
		if (earlier.size() > HISTORY) {
			earlier.remove(earlier.keySet().iterator().next());
		}
	}

	private record Applied(long revision, long step) {
	}

}
