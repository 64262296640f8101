package io.lentilstream.tasks.log;

/**
 * The outcome of decoding an entry of the shard log.
 */
public sealed interface LogDecodeOutcome {

	/**
	 * The entry was decoded.
	 *
	 * @param entry the entry
	 */
	record Decoded(TaskLogEntry entry) implements LogDecodeOutcome {
	}

	/**
	 * The entry has an unsupported version or is corrupt.
	 *
	 * @param reason the content that was found and the content that was expected
	 */
	record Unreadable(String reason) implements LogDecodeOutcome {
	}

}
