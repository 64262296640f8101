package io.lentilstream.control.store;

import java.util.List;
import java.util.function.Consumer;

/**
 * Calls the store that holds what must last. Replies arrive on the event loop.
 */
public interface MetadataStore {

	/**
	 * Reads an item.
	 * @param key the key
	 * @param reply gets the item, which may be one that does not exist
	 */
	void read(String key, Consumer<StoreReply<StoredItem>> reply);

	/**
	 * Reads a page of the items below a prefix.
	 * @param prefix the prefix
	 * @param after the last key of the page before; empty for the first page
	 * @param reply gets the page
	 */
	void range(String prefix, String after, Consumer<StoreReply<Page>> reply);

	/**
	 * Waits for changes below a prefix.
	 * @param prefix the prefix
	 * @param afterRevision the revision that is known
	 * @param waitMillis the longest time to wait, in milliseconds
	 * @param reply gets the changes, oldest first, perhaps none
	 */
	void watch(String prefix, long afterRevision, long waitMillis, Consumer<StoreReply<Page>> reply);

	/**
	 * Makes a change.
	 * @param commit the change
	 * @param reply gets the new revision of the store
	 */
	void commit(Commit commit, Consumer<StoreReply<Long>> reply);

	/**
	 * Grants a lease.
	 * @param ttlMillis how long it lasts without renewal, in milliseconds
	 * @param reply gets the lease
	 */
	void grantLease(long ttlMillis, Consumer<StoreReply<Long>> reply);

	/**
	 * Renews a lease.
	 * @param lease the lease
	 * @param reply gets how long it lasts from the arrival of the call, in milliseconds
	 */
	void renewLease(long lease, Consumer<StoreReply<Long>> reply);

	/**
	 * Ends a lease and deletes its items.
	 * @param lease the lease
	 * @param reply gets an unspecified value
	 */
	void revokeLease(long lease, Consumer<StoreReply<Long>> reply);

	/**
	 * Is a page of items or changes.
	 *
	 * @param items the items
	 * @param more whether items follow
	 * @param asOfRevision the store's revision
	 */
	record Page(List<StoredItem> items, boolean more, long asOfRevision) {
	}

}
