package io.lentilstream.requests;

/**
 * Is one try of a request at an endpoint or peer. It stays open until its result, or,
 * when no result tells that the endpoint is done with it, until its slot is released.
 */
final class Attempt {

	final Ticket ticket;

	final int number;

	/** The endpoint, or {@code null} for a forwarded attempt. */
	final Endpoint endpoint;

	/** The peer, or {@code null} for an attempt at an endpoint. */
	final PeerView peer;

	final long startedAt;

	/** Whether the attempt is the one probe of its endpoint. */
	final boolean probe;

	boolean awaited = true;

	/** When the attempt broke; its slot is held since then. */
	long brokenAt;

	boolean overdue;

	TimerQueue.Timer overdueTimer;

	TimerQueue.Timer hedgeTimer;

	TimerQueue.Timer holdTimer;

	Attempt(Ticket ticket, int number, Endpoint endpoint, PeerView peer, long startedAt, boolean probe) {
		this.ticket = ticket;
		this.number = number;
		this.endpoint = endpoint;
		this.peer = peer;
		this.startedAt = startedAt;
		this.probe = probe;
	}

}
