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
	 * The snapshot or an entry cannot be read, so nothing may be committed.
	 *
	 * @param reason what was found and what is expected
	 */
	record Unreadable(String reason) implements RecoveryOutcome {
	}

}
