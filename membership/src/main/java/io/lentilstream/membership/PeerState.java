package io.lentilstream.membership;

/**
 * The state of a peer as this process sees it.
 */
public enum PeerState {

	/** No heartbeat has arrived from the peer yet. */
	CONNECTING,

	/** Heartbeats arrive in both directions. */
	LIVE,

	/** Heartbeats are missing, arrive in one direction only, or the link is down. */
	SUSPECT,

	/** No heartbeat arrived for so long that the peer is considered failed. */
	GONE,

	/** The peer is shutting down, or the platform lists it as leaving. */
	LEAVING

}
