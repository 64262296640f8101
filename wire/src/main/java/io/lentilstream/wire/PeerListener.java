package io.lentilstream.wire;

import io.lentilstream.model.VmId;

/**
 * Gets what happens on the links to peers. Calls come from the threads of the transport,
 * in order per link, and must not block.
 */
public interface PeerListener {

	/**
	 * A link was authenticated and is in use.
	 * @param peer the identity that the other side proved
	 */
	void linkUp(LocalPeer peer);

	/**
	 * The last link to a peer ended. Messages that were queued may be lost.
	 * @param peer the identity of the other side
	 * @param reason a short reason for logs
	 */
	void linkDown(LocalPeer peer, String reason);

	/**
	 * A message arrived.
	 * @param from the sender
	 * @param frame the message and its ids
	 */
	void received(VmId from, PeerFrame frame);

}
