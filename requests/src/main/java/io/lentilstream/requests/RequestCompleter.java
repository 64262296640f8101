package io.lentilstream.requests;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;

/**
 * Emits the final action of each request, at most once. A request is removed only after
 * its final action or cancellation and the end of all its attempts.
 */
final class RequestCompleter {

	private final Map<RequestId, TrackedRequest> trackedRequests;

	private final TimerQueue timers;

	private final PoolCounters counters;

	private final Consumer<RequestId> unregister;

	RequestCompleter(Map<RequestId, TrackedRequest> trackedRequests, TimerQueue timers, PoolCounters counters,
			Consumer<RequestId> unregister) {
		this.trackedRequests = trackedRequests;
		this.timers = timers;
		this.counters = counters;
		this.unregister = unregister;
	}

	void deliver(TrackedRequest tracked, int attempt, List<RequestAction> actions) {
		close(tracked);
		this.counters.delivered++;
		actions.add(new RequestAction.Deliver(tracked.id, attempt));
	}

	/**
	 * Refuses a request as "not run", or reports it as unknown if an endpoint may have
	 * run it.
	 * @param tracked the request
	 * @param reason the reason why it gets no further attempt
	 * @param retryAfterMillis the retry delay suggested to the caller, in milliseconds
	 * @param actions the list to which the final action is added
	 */
	void refuse(TrackedRequest tracked, NotRunReason reason, long retryAfterMillis, List<RequestAction> actions) {
		if (tracked.mayHaveRun || tracked.awaitsResult()) {
			reportUnknown(tracked, actions);
			return;
		}
		close(tracked);
		this.counters.refused++;
		actions.add(new RequestAction.Refuse(tracked.id, new RequestOutcome.NotRun(reason, retryAfterMillis)));
	}

	void reportUnknown(TrackedRequest tracked, List<RequestAction> actions) {
		close(tracked);
		this.counters.unknown++;
		actions.add(new RequestAction.ReportUnknown(tracked.id, new RequestOutcome.Unknown(tracked.id)));
	}

	void close(TrackedRequest tracked) {
		if (tracked.closed) {
			throw new IllegalStateException("second final action for request " + tracked.id);
		}
		tracked.closed = true;
		for (Attempt attempt : tracked.openAttempts) {
			this.timers.cancel(attempt.hedgeTimer);
		}
		removeIfDone(tracked);
	}

	void removeIfDone(TrackedRequest tracked) {
		if (tracked.closed && tracked.openAttempts.isEmpty()) {
			this.timers.cancel(tracked.deadlineTimer);
			this.trackedRequests.remove(tracked.id);
			this.unregister.accept(tracked.id);
		}
	}

}
