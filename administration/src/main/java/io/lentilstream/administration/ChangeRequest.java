package io.lentilstream.administration;

import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.Revision;

/**
 * Asks for a change of several settings of one document at once.
 *
 * @param id the id of the change; a repeated request with the same id takes effect once
 * @param author who asks
 * @param reason why
 * @param atMillis the time of the request, in milliseconds since 1970 UTC
 * @param edits the new values by path; empty removes a value, which restores its default
 * @param expected the revision that the author has seen, or empty to change whatever is
 * there
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
