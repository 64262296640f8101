package io.lentilstream.tasks.log;

/**
 * The outcome of decoding an entry of the shard log.
 */
public sealed interface LogDecodeOutcome {

	/**
	 * The entry was read.
	 *
	 * @param entry the entry
	 */
	record Decoded(TaskLogEntry entry) implements LogDecodeOutcome {
	}

	/**
	 * The entry has an unknown version or is damaged.
	 *
	 * @param reason what was found and what is expected
	 */
	record Unreadable(String reason) implements LogDecodeOutcome {
	}

}
