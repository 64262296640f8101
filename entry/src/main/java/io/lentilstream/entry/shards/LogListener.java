package io.lentilstream.entry.shards;

import java.util.List;
import java.util.Optional;

/**
 * A listener for the events of one shard log.
 */
public interface LogListener {

	/**
	 * Called when the log is recovered and open for appends.
	 * @param snapshot the last snapshot, or empty if there is none
	 * @param entries the entries after it, in order
	 */
	void recovered(Optional<byte[]> snapshot, List<byte[]> entries);

	/**
	 * Returns a snapshot that includes the effect of all entries appended so far.
	 * @return the encoded snapshot
	 */
	byte[] snapshot();

	/**
	 * Called when a later owner has written to the log. This owner must stop.
	 */
	void fenced();

	/**
	 * Called when the log cannot be read.
	 * @param reason a description of the fault
	 */
	void failed(String reason);

}
