package io.lentilstream.wire;

/**
 * Is the outcome of handing a message to the transport. Only {@link Queued} means that
 * bytes of the message may reach the peer.
 */
public sealed interface SendOutcome {

	/**
	 * The message waits in the send queue of the link.
	 */
	record Queued() implements SendOutcome {
	}

	/**
	 * There is no link to the peer; nothing was sent.
	 */
	record NotConnected() implements SendOutcome {
	}

	/**
	 * The send queue has no room for messages of this priority; nothing was sent.
	 */
	record QueueFull() implements SendOutcome {
	}

	/**
	 * The frame is larger than the limit; nothing was sent.
	 *
	 * @param size the size of the frame, in bytes
	 * @param limit the limit, in bytes
	 */
	record TooLarge(int size, int limit) implements SendOutcome {
	}

}
