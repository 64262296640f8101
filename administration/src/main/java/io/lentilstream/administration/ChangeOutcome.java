package io.lentilstream.administration;

import java.util.List;

import io.lentilstream.model.Revision;
import io.lentilstream.settings.schema.SettingsMistake;

/**
 * The outcome of a request to change settings.
 */
public sealed interface ChangeOutcome {

	/**
	 * The change is accepted: it is in the store and will take effect on all entry VMs.
	 *
	 * @param id the id of the change
	 * @param document the path of the document
	 * @param revision the revision that the change created
	 */
	record Accepted(ChangeId id, String document, Revision revision) implements ChangeOutcome {
	}

	/**
	 * The change would be accepted now (dry run); nothing was written.
	 *
	 * @param document the path of the document
	 * @param current the revision that would be changed
	 * @param differences the differences that the change would make
	 */
	record WouldBeAccepted(String document, Revision current, List<Difference> differences) implements ChangeOutcome {
	}

	/**
	 * The changed settings would not be valid; nothing was written.
	 *
	 * @param mistakes all mistakes
	 */
	record Invalid(List<SettingsMistake> mistakes) implements ChangeOutcome {
	}

	/**
	 * The key does not allow the change; nothing was written.
	 *
	 * @param path the first path that may not be changed
	 */
	record Forbidden(String path) implements ChangeOutcome {
	}

	/**
	 * Another change was written first; this one was not and will not be written.
	 *
	 * @param document the path of the document
	 * @param current the revision in the store
	 * @param others the changes written first, oldest first; secrets are redacted
	 */
	record Conflict(String document, Revision current, List<ChangeRecord> others) implements ChangeOutcome {
	}

	/**
	 * The document would exceed the maximum value size of the store; nothing was written.
	 *
	 * @param bytes the size of the document
	 * @param limit the limit, in bytes
	 */
	record TooLarge(int bytes, int limit) implements ChangeOutcome {
	}

	/**
	 * The revision to revert to is not in the history; nothing was written.
	 *
	 * @param revision the revision
	 */
	record NotInHistory(Revision revision) implements ChangeOutcome {
	}

	/**
	 * The store is unavailable or its document cannot be read; the change was not and
	 * will not be written.
	 *
	 * @param reason a short reason
	 */
	record Unavailable(String reason) implements ChangeOutcome {
	}

	/**
	 * The change may or may not take effect. Its outcome can be queried later by its id.
	 *
	 * @param id the id of the change
	 */
	record Unknown(ChangeId id) implements ChangeOutcome {
	}

}
