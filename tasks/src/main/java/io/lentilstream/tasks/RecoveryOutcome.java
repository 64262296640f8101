package io.lentilstream.tasks;

/**
 * The outcome of rebuilding a shard from its snapshot and log.
 */
public sealed interface RecoveryOutcome {

	/**
	 * The shard was rebuilt.
	 *
	 * @param shard the shard
	 */
	record Recovered(TaskShard shard) implements RecoveryOutcome {
	}

	/**
	 * The snapshot or a log entry cannot be decoded. The shard must not be used.
	 *
	 * @param reason the content that was found and the content that was expected
	 */
	record Unreadable(String reason) implements RecoveryOutcome {
	}

}
