package io.lentilstream.membership;

/**
 * Is what this process thinks of a peer.
 */
public enum PeerState {

	/** Known by name only: no heartbeat of this run has arrived yet. */
	CONNECTING,

	/** Heartbeats arrive in both directions. */
	LIVE,

	/** Heartbeats are missing, arrive in one direction only, or the link is down. */
	SUSPECT,

	/** Nothing was heard for so long that the peer does not count any more. */
	GONE,

	/** The peer shuts down or the platform's list says that it leaves. */
	LEAVING

}
