package io.lentilstream.shards.log;

import java.util.List;
import java.util.Optional;

import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;

/**
 * An action that a {@link ShardLog} requests: a store call, whose outcome is passed back
 * with the action id, or an event. The caller performs actions in the order of the list.
 */
public sealed interface LogAction {

	/**
	 * A compare-and-swap of a key.
	 *
	 * @param id the action id
	 * @param write the compare-and-swap
	 */
	record Write(long id, StoreWrite write) implements LogAction {
	}

	/**
	 * A read of a key.
	 *
	 * @param id the action id
	 * @param key the key
	 */
	record Read(long id, StoreKey key) implements LogAction {
	}

	/**
	 * A list of all keys below a prefix.
	 *
	 * @param id the action id
	 * @param prefix the prefix
	 */
	record ListKeys(long id, StoreKey prefix) implements LogAction {
	}

	/**
	 * The entries of these appends are durable.
	 *
	 * @param sequence the sequence number of the record that holds them
	 * @param tokens the tokens in the order of the appends
	 */
	record Committed(long sequence, List<Long> tokens) implements LogAction {
	}

	/**
	 * The entries of an append were rejected; they are not written, now or later.
	 *
	 * @param token the token
	 * @param reason the reason
	 */
	record Refused(long token, RefusalReason reason) implements LogAction {
	}

	/**
	 * A later owner wrote to the log, so this epoch writes nothing more. The entries of
	 * the commit in flight may or may not be durable; entries queued behind it are not.
	 *
	 * @param uncertain the tokens whose entries may be durable
	 * @param notWritten the tokens whose entries were not written
	 */
	record Fenced(List<Long> uncertain, List<Long> notWritten) implements LogAction {
	}

	/**
	 * The log is recovered: the marker of this epoch is written and all entries are read.
	 *
	 * @param snapshot the last snapshot, or empty if there is none
	 * @param entries the entries after the snapshot in the order of their commits
	 */
	record Recovered(Optional<byte[]> snapshot, List<byte[]> entries) implements LogAction {
	}

	/**
	 * A snapshot is needed so that slots can be reused. The caller passes it to
	 * {@link ShardLog#writeSnapshot}.
	 *
	 * @param sequence the last committed sequence number; the snapshot covers it or a
	 * later one
	 */
	record SnapshotNeeded(long sequence) implements LogAction {
	}

	/**
	 * The log cannot be read, for example because of an unknown format version. The shard
	 * stays unusable until an operator repairs the log.
	 *
	 * @param reason a description of the fault
	 */
	record Failed(String reason) implements LogAction {
	}

	/**
	 * The reason why an append was refused.
	 */
	enum RefusalReason {

		/**
		 * The queue is full, because the store is slow or down or the write rate limit is
		 * reached.
		 */
		QUEUE_FULL,
		/** The entries exceed the size limit of one commit. */
		TOO_LARGE,
		/** The log is still recovering, or it is fenced or failed. */
		NOT_OPEN

	}

}
