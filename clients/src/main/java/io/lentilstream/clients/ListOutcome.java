package io.lentilstream.clients;

import java.util.List;

/**
 * Is the outcome of reading all keys below a prefix.
 */
public sealed interface ListOutcome {

	/**
	 * The store answered.
	 *
	 * @param values the values in the order of their keys
	 * @param revision the revision of the store that the values belong to; a watch goes
	 * on from here
	 */
	record Listed(List<StoredValue> values, long revision) implements ListOutcome {
	}

	/**
	 * The store did not answer.
	 *
	 * @param reason a short reason for logs
	 */
	record Unavailable(String reason) implements ListOutcome {
	}

}
