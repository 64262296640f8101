package io.lentilstream.administration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import io.lentilstream.model.Revision;

/**
 * A settings document and its history.
 *
 * @param revision the revision; {@link Revision#NONE} if the document does not exist
 * @param values the values by path
 * @param changes the history: the last changes, oldest first
 */
public record StoredDocument(Revision revision, SortedMap<String, String> values, List<ChangeRecord> changes) {

	/**
	 * Represents a document that does not exist in the store.
	 */
	public static final StoredDocument ABSENT = new StoredDocument(Revision.NONE, new TreeMap<>(), List.of());

	public StoredDocument {
		values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
		changes = List.copyOf(changes);
	}

	/**
	 * Finds a change in the history.
	 * @param id the id of the change
	 * @return the change, or empty if it is not in the history
	 */
	public Optional<ChangeRecord> change(ChangeId id) {
		return this.changes.stream().filter((change) -> change.id().equals(id)).findFirst();
	}

	/**
	 * Returns the changes after a revision that are in the history.
	 * @param revision the revision
	 * @return the changes, oldest first; may be incomplete
	 */
	public List<ChangeRecord> changesAfter(Revision revision) {
		return this.changes.stream().filter((change) -> change.revision().compareTo(revision) > 0).toList();
	}

	/**
	 * Tells whether the history contains every change after a revision.
	 * @param revision the revision
	 * @return {@code false} if any of these changes was dropped
	 */
	public boolean hasAllChangesAfter(Revision revision) {
		return this.revision.value() - revision.value() == changesAfter(revision).size();
	}

	/**
	 * Returns the values at an earlier revision, by reverting the changes after it.
	 * @param earlier the revision
	 * @return the values, or empty if the history does not reach back to it
	 */
	public Optional<SortedMap<String, String>> valuesAt(Revision earlier) {
		if (earlier.compareTo(this.revision) > 0 || !hasAllChangesAfter(earlier)) {
			return Optional.empty();
		}
		SortedMap<String, String> result = new TreeMap<>(this.values);
		List<ChangeRecord> newestFirst = new ArrayList<>(changesAfter(earlier));
		Collections.reverse(newestFirst);
		for (ChangeRecord change : newestFirst) {
			change.edits().forEach((path, edit) -> put(result, path, edit.before()));
		}
		return Optional.of(result);
	}

	static void put(Map<String, String> values, String path, Optional<String> value) {
		value.ifPresentOrElse((text) -> values.put(path, text), () -> values.remove(path));
	}

	@Override
	public String toString() {
		return "StoredDocument[revision " + this.revision + "]";
	}

}
