package io.lentilstream.membership;

/**
 * The state of a peer as this process sees it.
 */
public enum PeerState {

	/** Known by name only: no heartbeat of this run has arrived yet. */
	CONNECTING,

	/** Heartbeats arrive in both directions. */
	LIVE,

	/** Heartbeats are missing, arrive in one direction only, or the link is down. */
	SUSPECT,

	/** No heartbeat arrived for so long that the peer is considered failed. */
	GONE,

	/** The peer shuts down or the platform's list says that it leaves. */
	LEAVING

}
