package io.lentilstream.wire;

/**
 * Is what a handshake decides about one received message.
 */
sealed interface HandshakeOutcome {

	/**
	 * The handshake goes on after the reply.
	 *
	 * @param reply the message to send
	 */
	record Reply(PeerMessage reply) implements HandshakeOutcome {
	}

	/**
	 * The other side proved the peer key.
	 *
	 * @param peer its identity
	 * @param reply the message to send, or {@code null} if the other side has all it
	 * needs
	 */
	record Authenticated(LocalPeer peer, PeerMessage reply) implements HandshakeOutcome {
	}

	/**
	 * The link must be closed.
	 *
	 * @param reason a short reason for logs
	 */
	record Refused(String reason) implements HandshakeOutcome {
	}

}
