package io.lentilstream.control.store;

import java.util.ArrayList;
import java.util.List;

/**
 * An atomic change of several items: either all writes and deletes take effect or none.
 *
 * @param conditions the revisions that the items must have
 * @param writes the items to write
 * @param deletes the keys to delete
 */
public record Commit(List<Condition> conditions, List<Write> writes, List<String> deletes) {

	/**
	 * Maximum total number of conditions, writes and deletes.
	 */
	public static final int MAX_ENTRIES = 32;

	/**
	 * Creates an empty commit to which entries can be added.
	 */
	public Commit() {
		this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
	}

	/**
	 * Adds the condition that an item has a revision.
	 * @param key the key
	 * @param revision the revision; 0 if the item must not exist
	 * @return this commit
	 */
	public Commit require(String key, long revision) {
		this.conditions.add(new Condition(key, revision));
		return this;
	}

	/**
	 * Adds a write of an item.
	 * @param key the key
	 * @param value the bytes
	 * @param lease the id of the lease whose end deletes the item; 0 for none
	 * @return this commit
	 */
	public Commit write(String key, byte[] value, long lease) {
		this.writes.add(new Write(key, value, lease));
		return this;
	}

	/**
	 * Adds the deletion of an item.
	 * @param key the key
	 * @return this commit
	 */
	public Commit delete(String key) {
		this.deletes.add(key);
		return this;
	}

	/**
	 * Counts the entries.
	 * @return the total number of conditions, writes and deletes
	 */
	public int entryCount() {
		return this.conditions.size() + this.writes.size() + this.deletes.size();
	}

	/**
	 * A condition of a commit.
	 *
	 * @param key the key
	 * @param revision the revision that the item must have; 0 if it must not exist
	 */
	public record Condition(String key, long revision) {
	}

	/**
	 * An item to write.
	 *
	 * @param key the key
	 * @param value the bytes
	 * @param lease the id of the lease whose end deletes the item; 0 for none
	 */
	public record Write(String key, byte[] value, long lease) {
	}

}
