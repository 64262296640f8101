package io.lentilstream.clients;

import java.util.Optional;

/**
 * Is the outcome of a compare-and-swap.
 */
public sealed interface WriteOutcome {

	/**
	 * The write took effect.
	 *
	 * @param version the new version of the key
	 */
	record Written(long version) implements WriteOutcome {
	}

	/**
	 * The key had another version; nothing was written.
	 *
	 * @param current the value that the store holds, or empty if the key does not exist
	 */
	record Conflict(Optional<StoredValue> current) implements WriteOutcome {
	}

	/**
	 * The store surely did not apply the write.
	 *
	 * @param reason a short reason for logs
	 */
	record NotWritten(String reason) implements WriteOutcome {
	}

	/**
	 * The reply did not arrive; the write may or may not have taken effect, now or later.
	 *
	 * @param reason a short reason for logs
	 */
	record ReplyLost(String reason) implements WriteOutcome {
	}

}
