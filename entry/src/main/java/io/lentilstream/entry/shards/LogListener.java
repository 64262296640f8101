package io.lentilstream.entry.shards;

import java.util.List;
import java.util.Optional;

/**
 * Is told about the log of one shard.
 */
public interface LogListener {

	/**
	 * The log is read and open.
	 * @param snapshot the last snapshot, if any
	 * @param entries the entries after it, in order
	 */
	void recovered(Optional<byte[]> snapshot, List<byte[]> entries);

	/**
	 * Asks for a snapshot that holds the effect of all entries appended so far.
	 * @return the bytes
	 */
	byte[] snapshot();

	/**
	 * Another owner wrote to the log; this owner must stop.
	 */
	void fenced();

	/**
	 * The log cannot be read.
	 * @param reason what was found
	 */
	void failed(String reason);

}
