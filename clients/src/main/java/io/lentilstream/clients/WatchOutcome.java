package io.lentilstream.clients;

import java.util.List;

/**
 * Is the outcome of one waiting watch.
 */
public sealed interface WatchOutcome {

	/**
	 * The store answered with the changes since the given revision; both lists are empty
	 * if the wait ended without a change.
	 *
	 * @param changed the new values
	 * @param deleted the deleted keys
	 * @param revision the revision to continue from
	 */
	record Changes(List<StoredValue> changed, List<StoreKey> deleted, long revision) implements WatchOutcome {
	}

	/**
	 * The store no longer holds the changes since the given revision; the watcher must
	 * list the prefix again.
	 */
	record Compacted() implements WatchOutcome {
	}

	/**
	 * The store did not answer.
	 *
	 * @param reason a short reason for logs
	 */
	record Unavailable(String reason) implements WatchOutcome {
	}

}
