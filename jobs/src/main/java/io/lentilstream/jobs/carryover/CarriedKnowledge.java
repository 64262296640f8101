package io.lentilstream.jobs.carryover;

import io.lentilstream.jobs.codec.DecodeException;

/**
 * Something that a leader has learned and that its successor needs to go on in the same
 * way. The leader stores a snapshot periodically; a successor restores it before it
 * places tasks.
 */
public interface CarriedKnowledge {

	/**
	 * Returns the name under which the snapshot is stored.
	 * @return the name, in lower case with hyphens
	 */
	String name();

	/**
	 * Returns a snapshot.
	 * @return the encoded snapshot; empty if nothing has been learned
	 */
	byte[] snapshot();

	/**
	 * Restores the snapshot of a predecessor.
	 * @param snapshot the encoded snapshot
	 * @param ageMillis how long ago it was stored at least, in milliseconds
	 * @throws DecodeException if the snapshot is malformed; nothing is restored then
	 */
	void restore(byte[] snapshot, long ageMillis) throws DecodeException;

}
