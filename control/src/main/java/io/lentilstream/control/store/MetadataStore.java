package io.lentilstream.control.store;

import java.util.List;
import java.util.function.Consumer;

/**
 * A client of the durable key-value store. Replies arrive on the event loop.
 */
public interface MetadataStore {

	/**
	 * Reads an item.
	 * @param key the key
	 * @param reply receives the item, without a value if it does not exist
	 */
	void read(String key, Consumer<StoreReply<StoredItem>> reply);

	/**
	 * Reads a page of the items whose keys start with a prefix.
	 * @param prefix the prefix
	 * @param after the last key of the previous page; empty for the first page
	 * @param reply receives the page
	 */
	void range(String prefix, String after, Consumer<StoreReply<Page>> reply);

	/**
	 * Waits for changes of items whose keys start with a prefix. This is a long poll.
	 * @param prefix the prefix
	 * @param afterRevision the revision after which changes are returned
	 * @param waitMillis the maximum time to wait for a change, in milliseconds
	 * @param reply receives the changes, oldest first; an empty page if there were none
	 */
	void watch(String prefix, long afterRevision, long waitMillis, Consumer<StoreReply<Page>> reply);

	/**
	 * Commits a change.
	 * @param commit the change
	 * @param reply receives the new revision of the store
	 */
	void commit(Commit commit, Consumer<StoreReply<Long>> reply);

	/**
	 * Grants a lease.
	 * @param ttlMillis the time to live without renewal, in milliseconds
	 * @param reply receives the id of the lease
	 */
	void grantLease(long ttlMillis, Consumer<StoreReply<Long>> reply);

	/**
	 * Renews a lease.
	 * @param lease the id of the lease
	 * @param reply receives the time to live from the arrival of the call at the store,
	 * in milliseconds
	 */
	void renewLease(long lease, Consumer<StoreReply<Long>> reply);

	/**
	 * Revokes a lease and deletes its items.
	 * @param lease the id of the lease
	 * @param reply receives an unspecified value
	 */
	void revokeLease(long lease, Consumer<StoreReply<Long>> reply);

	/**
	 * A page of items or changes.
	 *
	 * @param items the items
	 * @param more whether further pages follow
	 * @param asOfRevision the revision of the store at the time of the reply
	 */
	record Page(List<StoredItem> items, boolean more, long asOfRevision) {
	}

}
