package io.lentilstream.control;

import io.lentilstream.jobs.DecisionLog;

/**
 * Logs when the event loop did not run for a while, such as during a long garbage
 * collection, a lack of processor time or a suspension of the process.
 */
public final class LoopStallMonitor {

	/** Time between two checks, in milliseconds. */
	static final long CHECK_INTERVAL_MILLIS = 250;

	/** The delay of a check from which on the loop counts as stalled, in milliseconds. */
	static final long MAX_DELAY_MILLIS = 500;

	private final EventLoop loop;

	private final DecisionLog log;

	private final String node;

	private long checkDueAt;

	private long wallClockDueAt;

	/**
	 * Creates a monitor that has not started.
	 * @param loop the event loop
	 * @param log receives a line for each stall
	 * @param node the name of the process
	 */
	public LoopStallMonitor(EventLoop loop, DecisionLog log, String node) {
		this.loop = loop;
		this.log = log;
		this.node = node;
	}

	/**
	 * Starts to check the event loop periodically.
	 */
	public void start() {
		this.checkDueAt = this.loop.now() + CHECK_INTERVAL_MILLIS;
		this.wallClockDueAt = this.loop.wallClockMillis() + CHECK_INTERVAL_MILLIS;
		this.loop.schedule(CHECK_INTERVAL_MILLIS, this::check);
	}

	// The steady clock does not count the time of a suspended machine, the wall clock
	// does.
	private void check() {
		long delay = this.loop.now() - this.checkDueAt;
		long wallClockDelay = this.loop.wallClockMillis() - this.wallClockDueAt;
		if (delay > MAX_DELAY_MILLIS || wallClockDelay > MAX_DELAY_MILLIS) {
			this.log.append("loop-stalled", this.node, "late-ms", delay, "wall-clock-late-ms", wallClockDelay);
		}
		start();
	}

}
