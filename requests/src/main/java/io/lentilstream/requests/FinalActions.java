package io.lentilstream.requests;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;

/**
 * Issues the one final action of each request, and keeps a request until its attempts
 * have ended too.
 */
final class FinalActions {

	private final Map<RequestId, Ticket> tickets;

	private final TimerQueue timers;

	private final ShardCounters counters;

	private final Consumer<RequestId> forget;

	FinalActions(Map<RequestId, Ticket> tickets, TimerQueue timers, ShardCounters counters,
			Consumer<RequestId> forget) {
		this.tickets = tickets;
		this.timers = timers;
		this.counters = counters;
		this.forget = forget;
	}

	void deliver(Ticket ticket, int attempt, List<RequestAction> actions) {
		close(ticket);
		this.counters.delivered++;
		actions.add(new RequestAction.Deliver(ticket.id, attempt));
	}

	/**
	 * Refuses a request as "not run", or reports it as unknown if an endpoint may have
	 * run it.
	 * @param ticket the request
	 * @param reason why it gets no further attempt
	 * @param retryAfterMillis milliseconds after which a new try makes sense
	 * @param actions gets the final action
	 */
	void refuse(Ticket ticket, NotRunReason reason, long retryAfterMillis, List<RequestAction> actions) {
		if (ticket.mayHaveRun || ticket.awaitsResult()) {
			reportUnknown(ticket, actions);
			return;
		}
		close(ticket);
		this.counters.refused++;
		actions.add(new RequestAction.Refuse(ticket.id, new RequestOutcome.NotRun(reason, retryAfterMillis)));
	}

	void reportUnknown(Ticket ticket, List<RequestAction> actions) {
		close(ticket);
		this.counters.unknown++;
		actions.add(new RequestAction.ReportUnknown(ticket.id, new RequestOutcome.Unknown(ticket.id)));
	}

	void close(Ticket ticket) {
		if (ticket.closed) {
			throw new IllegalStateException("second final action for request " + ticket.id);
		}
		ticket.closed = true;
		for (Attempt attempt : ticket.open) {
			this.timers.cancel(attempt.hedgeTimer);
		}
		forgetIfDone(ticket);
	}

	void forgetIfDone(Ticket ticket) {
		if (ticket.closed && ticket.open.isEmpty()) {
			this.timers.cancel(ticket.deadlineTimer);
			this.tickets.remove(ticket.id);
			this.forget.accept(ticket.id);
		}
	}

}
