package io.lentilstream.control.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the parts of requests that are decoded in a time, so that clients that send very
 * small chunks leave processor time to others. Connections that have sent many parts take
 * turns beyond the bound; all others are read at once. Load pattern: hundreds of bodies
 * in chunks of a few bytes. All methods must be called on the event loop.
 */
public final class DecodingRateLimit {

	/** The number of parts of one read up to which a connection does not take turns. */
	public static final int FEW_PARTS = 64;

	/** The parts that are decoded in a time slice. */
	private static final int MAX_PARTS = 5000;

	private static final long SLICE_MILLIS = 10;

	/** The connections that are read again in one time slice. */
	private static final int TURNS = 5;

	private final Deque<Runnable> paused = new ArrayDeque<>();

	private long slice;

	private int decoded;

	/**
	 * Takes note of a part that has been decoded.
	 */
	public void decoded() {
		long current = System.nanoTime() / TimeUnit.MILLISECONDS.toNanos(SLICE_MILLIS);
		if (current != this.slice) {
			this.slice = current;
			this.decoded = 0;
		}
		this.decoded++;
	}

	/**
	 * Returns whether connections that have sent many parts must pause.
	 * @return {@code true} if as many parts have been decoded as a time slice allows
	 */
	public boolean exhausted() {
		return this.decoded >= MAX_PARTS || !this.paused.isEmpty();
	}

	/**
	 * Pauses a connection until it is its turn.
	 * @param executor the event loop
	 * @param resume reads the connection again
	 */
	public void pause(ScheduledExecutorService executor, Runnable resume) {
		this.paused.add(resume);
		if (this.paused.size() == 1) {
			scheduleTurns(executor);
		}
	}

	private void scheduleTurns(ScheduledExecutorService executor) {
		executor.schedule(() -> {
			for (int i = 0; i < TURNS && !this.paused.isEmpty(); i++) {
				this.paused.poll().run();
			}
			if (!this.paused.isEmpty()) {
				scheduleTurns(executor);
			}
		}, SLICE_MILLIS, TimeUnit.MILLISECONDS);
	}

}
