package io.lentilstream.control.limits;

import io.lentilstream.control.EventLoop;
import io.lentilstream.jobs.DecisionLog;

/**
 * Logs how many clients have been refused because of the limits, in one line for all of
 * an interval, since crowds consist of many clients.
 */
public final class ClientLimitsReporter {

	/** Time between two lines, in milliseconds. */
	static final long INTERVAL_MILLIS = 1000;

	private static final long KIB = 1024;

	private final EventLoop loop;

	private final DecisionLog log;

	private final String node;

	private final ClientLimits limits;

	private long reportedShed;

	private long reportedClosed;

	/**
	 * Creates a reporter that has not started.
	 * @param loop the event loop
	 * @param log receives a line for each interval in which clients were refused
	 * @param node the name of the process
	 * @param limits the limits
	 */
	public ClientLimitsReporter(EventLoop loop, DecisionLog log, String node, ClientLimits limits) {
		this.loop = loop;
		this.log = log;
		this.node = node;
		this.limits = limits;
	}

	/**
	 * Starts to report periodically.
	 */
	public void start() {
		this.loop.schedule(INTERVAL_MILLIS, this::report);
	}

	private void report() {
		long shed = this.limits.memory().shedClients();
		long closed = this.limits.connections().closedConnections();
		if (shed > this.reportedShed || closed > this.reportedClosed) {
			this.log.append("clients-refused", this.node, "for-memory", shed - this.reportedShed, "for-connections",
					closed - this.reportedClosed, "held-kb", this.limits.memory().bytes() / KIB);
		}
		this.reportedShed = shed;
		this.reportedClosed = closed;
		start();
	}

}
