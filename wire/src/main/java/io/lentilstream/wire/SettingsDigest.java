package io.lentilstream.wire;

import java.util.Collections;
import java.util.List;

/**
 * Summarizes which revision of each settings document a process has in force. Documents
 * are spread over a fixed number of buckets by the hash of their path, so that a
 * difference in one bucket needs a comparison of only that part of the documents.
 *
 * @param buckets one hash per bucket
 */
public record SettingsDigest(List<Long> buckets) {

	/**
	 * Number of buckets; 8 buckets of 8 bytes keep a heartbeat small and a comparison of
	 * one bucket of 340 documents near 1 KB.
	 */
	public static final int BUCKETS = 8;

	/**
	 * The mask that stands for all buckets.
	 */
	public static final int ALL_BUCKETS = (1 << BUCKETS) - 1;

	/**
	 * The digest of a process without documents.
	 */
	public static final SettingsDigest EMPTY = new SettingsDigest(Collections.nCopies(BUCKETS, 0L));

	public SettingsDigest {
		buckets = List.copyOf(buckets);
		if (buckets.size() != BUCKETS) {
			throw new IllegalArgumentException("digest with wrong number of buckets");
		}
	}

	/**
	 * Returns the bucket of a document.
	 * @param path the path of the document
	 * @return the index of the bucket
	 */
	public static int bucketOf(String path) {
		return (int) (hash(path) >>> 32) & (BUCKETS - 1);
	}

	/**
	 * Returns what one document adds to the sum of its bucket.
	 * @param path the path of the document
	 * @param revision the revision in force
	 * @return the hash of path and revision
	 */
	public static long entryHash(String path, long revision) {
		return mix(hash(path) + mix(revision));
	}

	/**
	 * Returns the mask of the buckets that differ from another digest.
	 * @param other the other digest
	 * @return bit i is set if bucket i differs
	 */
	public int differingBuckets(SettingsDigest other) {
		int mask = 0;
		for (int i = 0; i < BUCKETS; i++) {
			if (!this.buckets.get(i).equals(other.buckets.get(i))) {
				mask |= 1 << i;
			}
		}
		return mask;
	}

	private static long hash(String text) {
		// FNV-1a, because String.hashCode has only 32 bits.
		long hash = 0xcbf29ce484222325L;
		for (int i = 0; i < text.length(); i++) {
			hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
		}
		return mix(hash);
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
		mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return mixed ^ (mixed >>> 33);
	}

}
