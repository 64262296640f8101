package io.lentilstream.requests;

/**
 * An attempt to run a request at an endpoint or peer. It stays open until its result
 * arrives or, if no result shows that the endpoint has finished with it, until its slot
 * is released.
 */
final class Attempt {

	final TrackedRequest tracked;

	final int number;

	/** The endpoint, or {@code null} for a forwarded attempt. */
	final Endpoint endpoint;

	/** The peer, or {@code null} for an attempt at an endpoint. */
	final PeerView peer;

	final long startedAt;

	/** Whether the attempt is the probe of its endpoint. */
	final boolean probe;

	boolean awaitingResult = true;

	/** When the attempt broke, in nanoseconds; it still occupies its slot. */
	long brokenAt;

	boolean straggler;

	TimerQueue.Timer stragglerTimer;

	TimerQueue.Timer hedgeTimer;

	TimerQueue.Timer slotReleaseTimer;

	Attempt(TrackedRequest tracked, int number, Endpoint endpoint, PeerView peer, long startedAt, boolean probe) {
		this.tracked = tracked;
		this.number = number;
		this.endpoint = endpoint;
		this.peer = peer;
		this.startedAt = startedAt;
		this.probe = probe;
	}

}
