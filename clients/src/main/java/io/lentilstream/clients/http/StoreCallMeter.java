package io.lentilstream.clients.http;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the calls to the store by kind, whether or not they were answered. A waiting
 * watch counts as one call; granting, renewing and revoking a lease count as writes.
 */
public final class StoreCallMeter {

	private final LongAdder reads = new LongAdder();

	private final LongAdder writes = new LongAdder();

	private final LongAdder watches = new LongAdder();

	void countRead() {
		this.reads.increment();
	}

	void countWrite() {
		this.writes.increment();
	}

	void countWatch() {
		this.watches.increment();
	}

	/**
	 * Returns the number of reads and lists.
	 * @return the number since the start
	 */
	public long reads() {
		return this.reads.sum();
	}

	/**
	 * Returns the number of writes and lease calls.
	 * @return the number since the start
	 */
	public long writes() {
		return this.writes.sum();
	}

	/**
	 * Returns the number of watches.
	 * @return the number since the start
	 */
	public long watches() {
		return this.watches.sum();
	}

}
