package io.lentilstream.control.store;

/**
 * An item of the store, or a tombstone for a deleted or missing item.
 *
 * @param key the key
 * @param value the bytes; {@code null} if the item was deleted or never existed
 * @param revision the store's revision at the last change of the item
 * @param createdRevision the store's revision at the creation of the item
 */
public record StoredItem(String key, byte[] value, long revision, long createdRevision) {

	/**
	 * Returns whether the item exists.
	 * @return {@code true} if there is a value
	 */
	public boolean exists() {
		return this.value != null;
	}

}
