package io.lentilstream.wire;

/**
 * Is the type of a message between entry VMs, with its number on the wire and its place
 * in the send queue.
 */
public enum MessageKind {

	/** First frame of the side that connects. */
	HELLO(1, SendPriority.MEMBERSHIP),

	/** Answer to a hello, with the proof of the side that accepts. */
	CHALLENGE(2, SendPriority.MEMBERSHIP),

	/** Proof of the side that connects. */
	PROOF(3, SendPriority.MEMBERSHIP),

	/** Sign of life with the digest of settings, free slots and owned shards. */
	HEARTBEAT(4, SendPriority.MEMBERSHIP),

	/** One settings document. */
	DOCUMENT(5, SendPriority.SETTINGS),

	/** Revisions that the sender holds and the buckets in which it wants higher ones. */
	FETCH_DOCUMENTS(6, SendPriority.SETTINGS),

	/** A request for the owner of a shard. */
	FORWARD_REQUEST(7, SendPriority.REQUESTS),

	/** The outcome of a forwarded request. */
	FORWARD_ANSWER(8, SendPriority.REQUESTS),

	/** A forwarded request was not run. */
	FORWARD_REFUSAL(9, SendPriority.REQUESTS),

	/** Asks an earlier owner whether it stopped. */
	RELEASE_QUERY(10, SendPriority.MEMBERSHIP),

	/** An earlier owner confirms that it stopped. */
	RELEASE_CONFIRMED(11, SendPriority.MEMBERSHIP),

	/** The sender shuts down. */
	GOODBYE(12, SendPriority.MEMBERSHIP);

	private final int number;

	private final SendPriority priority;

	MessageKind(int number, SendPriority priority) {
		this.number = number;
		this.priority = priority;
	}

	/**
	 * Returns the number of the type on the wire; numbers are never reused.
	 * @return the number, from 1
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the priority of the type in the send queue.
	 * @return the priority
	 */
	public SendPriority priority() {
		return this.priority;
	}

}
