package io.lentilstream.control.store;

/**
 * Is an item of the store, or the note that it was deleted.
 *
 * @param key the key
 * @param value the bytes; {@code null} if the item was deleted or never existed
 * @param revision the store's revision at the last change of the item
 * @param createdRevision the store's revision at its creation
 */
public record StoredItem(String key, byte[] value, long revision, long createdRevision) {

	/**
	 * Tells whether the item exists.
	 * @return {@code true} if there is a value
	 */
	public boolean exists() {
		return this.value != null;
	}

}
