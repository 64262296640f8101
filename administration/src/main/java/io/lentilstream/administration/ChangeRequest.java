package io.lentilstream.administration;

import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.Revision;

/**
 * A request to change several settings of one document atomically.
 *
 * @param id the id of the change; requests are idempotent by this id
 * @param author who requests the change
 * @param reason why the change is made
 * @param atMillis the time of the request, in milliseconds since 1970 UTC
 * @param edits the new values by path; an empty one restores the default
 * @param expected the revision that the change is based on; if empty, the change applies
 * to any revision
 */
public record ChangeRequest(ChangeId id, String author, String reason, long atMillis,
		Map<String, Optional<String>> edits, Optional<Revision> expected) {

	public ChangeRequest {
		edits = Map.copyOf(edits);
	}

	@Override
	public String toString() {
		// Values are left out, since an operator may enter a key in place of its hash.
		return "ChangeRequest[" + this.id + " of " + this.edits.keySet() + "]";
	}

}
