package io.lentilstream.administration;

import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.Revision;

/**
 * An accepted change in the history of a document.
 *
 * @param id the id of the change
 * @param revision the revision that it created
 * @param author who requested it
 * @param reason why the change was made
 * @param atMillis the time of the request, in milliseconds since 1970 UTC
 * @param edits the changed values by path
 */
public record ChangeRecord(ChangeId id, Revision revision, String author, String reason, long atMillis,
		Map<String, Edit> edits) {

	public ChangeRecord {
		edits = Map.copyOf(edits);
	}

	/**
	 * A change of one value.
	 *
	 * @param before the value before, or empty if it was not set
	 * @param after the value after, or empty if it was removed
	 */
	public record Edit(Optional<String> before, Optional<String> after) {
	}

}
