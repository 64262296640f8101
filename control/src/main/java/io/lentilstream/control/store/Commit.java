package io.lentilstream.control.store;

import java.util.ArrayList;
import java.util.List;

/**
 * Is a change of several items, of which all or none take effect.
 *
 * @param conditions the revisions that items must have
 * @param writes the items to write
 * @param deletes the keys to delete
 */
public record Commit(List<Condition> conditions, List<Write> writes, List<String> deletes) {

	/**
	 * Largest number of conditions, writes and deletes together.
	 */
	public static final int MAX_ENTRIES = 32;

	/**
	 * Creates an empty commit to add to.
	 */
	public Commit() {
		this(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
	}

	/**
	 * Requires a revision of an item.
	 * @param key the key
	 * @param revision the revision; 0 if the item must not exist
	 * @return this commit
	 */
	public Commit require(String key, long revision) {
		this.conditions.add(new Condition(key, revision));
		return this;
	}

	/**
	 * Writes an item.
	 * @param key the key
	 * @param value the bytes
	 * @param lease the lease whose end deletes the item; 0 if none
	 * @return this commit
	 */
	public Commit write(String key, byte[] value, long lease) {
		this.writes.add(new Write(key, value, lease));
		return this;
	}

	/**
	 * Deletes an item.
	 * @param key the key
	 * @return this commit
	 */
	public Commit delete(String key) {
		this.deletes.add(key);
		return this;
	}

	/**
	 * Counts the entries.
	 * @return the number of conditions, writes and deletes
	 */
	public int entryCount() {
		return this.conditions.size() + this.writes.size() + this.deletes.size();
	}

	/**
	 * Is a condition of a commit.
	 *
	 * @param key the key
	 * @param revision the revision that the item must have; 0 if it must not exist
	 */
	public record Condition(String key, long revision) {
	}

	/**
	 * Is an item to write.
	 *
	 * @param key the key
	 * @param value the bytes
	 * @param lease the lease whose end deletes the item; 0 if none
	 */
	public record Write(String key, byte[] value, long lease) {
	}

}
