package io.lentilstream.clients;

import java.util.Optional;

/**
 * Is the outcome of reading one key.
 */
public sealed interface ReadOutcome {

	/**
	 * The store answered.
	 *
	 * @param value the value, or empty if the key does not exist
	 */
	record Read(Optional<StoredValue> value) implements ReadOutcome {
	}

	/**
	 * The store did not answer.
	 *
	 * @param reason a short reason for logs
	 */
	record Unavailable(String reason) implements ReadOutcome {
	}

}
