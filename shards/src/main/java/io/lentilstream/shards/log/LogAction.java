package io.lentilstream.shards.log;

import java.util.List;
import java.util.Optional;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;

/**
 * Is what the daemon does for a {@link ShardLog}: store calls, whose outcome goes back
 * with the action id, and events. They are carried out in the order of the list.
 */
public sealed interface LogAction {

	/**
	 * Writes a key.
	 *
	 * @param id the action id
	 * @param write the compare-and-swap
	 */
	record Write(long id, StoreWrite write) implements LogAction {
	}

	/**
	 * Reads a key.
	 *
	 * @param id the action id
	 * @param key the key
	 */
	record Read(long id, StoreKey key) implements LogAction {
	}

	/**
	 * Lists all keys below a prefix.
	 *
	 * @param id the action id
	 * @param prefix the prefix
	 */
	record ListKeys(long id, StoreKey prefix) implements LogAction {
	}

	/**
	 * The entries of these appends are durable.
	 *
	 * @param sequence the sequence number of their record
	 * @param tokens the tokens in the order of the appends
	 */
	record Committed(long sequence, List<Long> tokens) implements LogAction {
	}

	/**
	 * The entries of an append were not and will not be written.
	 *
	 * @param token the token
	 * @param reason why
	 */
	record Refused(long token, RefusalReason reason) implements LogAction {
	}

	/**
	 * Another owner wrote to the log. Nothing more is written under this epoch. The last
	 * commit in flight may or may not be durable; entries queued behind it are not.
	 *
	 * @param uncertain the tokens whose entries may be durable
	 * @param notWritten the tokens whose entries were not written
	 */
	record Fenced(List<Long> uncertain, List<Long> notWritten) implements LogAction {
	}

	/**
	 * The marker of this epoch is written and the log is read.
	 *
	 * @param snapshot the last snapshot, or empty if there is none
	 * @param entries the entries after the snapshot in the order of their commits
	 */
	record Recovered(Optional<byte[]> snapshot, List<byte[]> entries) implements LogAction {
	}

	/**
	 * A snapshot is needed so that slots can be reused. The daemon answers with
	 * {@link ShardLog#writeSnapshot}.
	 *
	 * @param sequence the last committed sequence number; the snapshot covers it or a
	 * later one
	 */
	record SnapshotNeeded(long sequence) implements LogAction {
	}

	/**
	 * The log cannot be read, for example because of an unknown format version. The shard
	 * is left alone until an operator acts.
	 *
	 * @param reason what was found
	 */
	record Failed(String reason) implements LogAction {
	}

	/**
	 * Says why an append was refused.
	 */
	enum RefusalReason {

		/** The queue is full; the store is slow, down or over its budget. */
		QUEUE_FULL,
		/** The entries are larger than one commit may be. */
		TOO_LARGE,
		/** The log is not recovered yet, fenced or failed. */
		NOT_OPEN

	}

}
