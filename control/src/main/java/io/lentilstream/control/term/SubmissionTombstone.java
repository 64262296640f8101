package io.lentilstream.control.term;

import io.lentilstream.control.store.StoredItem;

/**
 * An item in the place of the submission of a job that was cancelled before it was
 * stored. Submissions require that their key does not exist, so none is stored after it.
 */
public final class SubmissionTombstone {

	private static final byte VALUE = 0;

	private SubmissionTombstone() {
	}

	/**
	 * Returns the value of a tombstone, which no codec of submissions can decode.
	 * @return the bytes
	 */
	public static byte[] value() {
		return new byte[] { VALUE };
	}

	/**
	 * Tells whether an item is a tombstone.
	 * @param item the item under the key of a submission
	 * @return {@code false} if it is a submission or does not exist
	 */
	public static boolean isTombstone(StoredItem item) {
		return item.exists() && item.value().length == 1 && item.value()[0] == VALUE;
	}

}
