package io.lentilstream.control.shutdown;

import java.util.function.Consumer;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.http.RequestsInFlight;
import io.lentilstream.jobs.DecisionLog;

/**
 * The shutdown of a process that is asked to stop. Each request that has been received is
 * answered before the process exits, whatever it waits for.
 */
public final class GracefulShutdown {

	private static final long POLL_MILLIS = 50;

	private final EventLoop loop;

	private final DecisionLog log;

	private final String node;

	private final long graceMillis;

	private final Server server;

	private final Leader leader;

	private final Consumer<String> exit;

	private ShutdownDeadlines deadlines;

	private String cause;

	/**
	 * Creates a shutdown that has not begun.
	 * @param loop the event loop
	 * @param log receives a line for each signal, and for answers that were not awaited
	 * @param node the name of the process
	 * @param graceMillis how long the process may run after a signal, in milliseconds
	 * @param server the server of the clients
	 * @param leader the part of the process that may lead
	 * @param exit ends the process, and takes the cause
	 */
	public GracefulShutdown(EventLoop loop, DecisionLog log, String node, long graceMillis, Server server,
			Leader leader, Consumer<String> exit) {
		this.loop = loop;
		this.log = log;
		this.node = node;
		this.graceMillis = graceMillis;
		this.server = server;
		this.leader = leader;
		this.exit = exit;
	}

	/**
	 * Begins the shutdown, unless it has begun.
	 * @param signal the cause
	 */
	public void begin(String signal) {
		boolean repeated = this.deadlines != null;
		this.log.append("process-stopping", this.node, "cause", signal, "repeated", repeated, "in-flight",
				this.server.inFlight().count());
		if (repeated) {
			return;
		}
		this.cause = signal;
		long now = this.loop.now();
		this.deadlines = ShutdownDeadlines.of(now, this.graceMillis);
		this.leader.drain(this.deadlines.leadUntil());
		this.server.closeAfterResponses();
		this.loop.schedule(this.deadlines.listenUntil() - now, this.server::stop);
		this.loop.schedule(this.deadlines.answerBy() - now, this::answerUnfinished);
		poll();
	}

	private void answerUnfinished() {
		RequestsInFlight unfinished = this.server.inFlight();
		if (unfinished.count() > 0) {
			this.log.append("requests-unfinished", this.node, "count", unfinished.count(), "oldest-ms",
					unfinished.oldestMillis(), "oldest", unfinished.oldest());
			this.server.answerUnfinished();
		}
	}

	private void poll() {
		long now = this.loop.now();
		boolean answered = now >= this.deadlines.listenUntil() && this.server.inFlight().count() == 0
				&& this.server.responsesSent();
		if (answered && this.leader.released() || now >= this.deadlines.exitBy()) {
			answerUnfinished();
			this.exit.accept(this.cause);
			return;
		}
		this.loop.schedule(POLL_MILLIS, this::poll);
	}

	/**
	 * A server whose requests are answered before the process exits.
	 */
	public interface Server {

		/** Closes each connection after its next response from now on. */
		void closeAfterResponses();

		/** Stops listening, and closes idle connections. */
		void stop();

		/**
		 * Returns the requests that have been received and not answered.
		 * @return their number, and the oldest
		 */
		RequestsInFlight inFlight();

		/**
		 * Answers all requests that have been received.
		 * @return the number of requests
		 */
		int answerUnfinished();

		/**
		 * Returns whether all responses have been handed to the operating system.
		 * @return {@code false} if a response waits for a caller that does not read
		 */
		boolean responsesSent();

	}

	/**
	 * The part of the process that may lead.
	 */
	public interface Leader {

		/**
		 * Leads no longer than until another process can, and gives up the leadership for
		 * good at a deadline.
		 * @param leadUntil the deadline, on the steady clock in milliseconds
		 */
		void drain(long leadUntil);

		/**
		 * Returns whether another process may lead without waiting for a lease of this
		 * one.
		 * @return {@code false} while the store has not confirmed the end of the lease
		 */
		boolean released();

	}

}
