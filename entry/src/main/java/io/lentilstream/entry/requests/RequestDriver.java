package io.lentilstream.entry.requests;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

import io.lentilstream.clients.EndpointClient;
import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.EndpointRequest;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.requests.AttemptResult;
import io.lentilstream.requests.IncomingRequest;
import io.lentilstream.requests.RequestAction;
import io.lentilstream.requests.RequestScheduler;

/**
 * The I/O driver of the request scheduler. It sends attempts to endpoints, forwards
 * requests to peers and completes the outcome of each request exactly once.
 */
public final class RequestDriver {

	private static final int SERVER_ERROR = 500;

	private final RequestScheduler scheduler;

	private final EndpointClient endpoints;

	private final RequestForwarder forwarder;

	private final MonotonicClock clock;

	private final Map<RequestId, PendingRequest> pending = new ConcurrentHashMap<>();

	private final Map<RequestId, SlotHandler> slotHandlers = new ConcurrentHashMap<>();

	/**
	 * Creates a driver.
	 * @param scheduler the request scheduler
	 * @param endpoints sends attempts to endpoints
	 * @param forwarder forwards requests to peers
	 * @param clock the monotonic clock
	 */
	public RequestDriver(RequestScheduler scheduler, EndpointClient endpoints, RequestForwarder forwarder,
			MonotonicClock clock) {
		this.scheduler = scheduler;
		this.endpoints = endpoints;
		this.forwarder = forwarder;
		this.clock = clock;
	}

	/**
	 * Submits a request to the scheduler.
	 * @param request the properties that affect scheduling
	 * @param content the content to send
	 * @return the outcome; never completes if the request is cancelled, and never
	 * completes exceptionally
	 */
	public CompletableFuture<RequestOutcome> submit(IncomingRequest request, RequestContent content) {
		PendingRequest entry = new PendingRequest(request, content);
		if (this.pending.putIfAbsent(request.id(), entry) != null) {
			// The first submission with this id may run, so "not run" could be wrong.
			return CompletableFuture.completedFuture(new RequestOutcome.Unknown(request.id()));
		}
		perform(this.scheduler.offer(this.clock.now(), request));
		return entry.outcome();
	}

	/**
	 * Queues a deferrable request for a free slot of an endpoint of this entry VM. The
	 * caller sends the attempt itself after recording it.
	 * @param request the properties that affect scheduling
	 * @param handler receives the slot or the refusal
	 */
	public void requestSlot(IncomingRequest request, SlotHandler handler) {
		if (this.slotHandlers.putIfAbsent(request.id(), handler) != null) {
			throw new IllegalStateException("a slot was already requested with the same id");
		}
		perform(this.scheduler.offer(this.clock.now(), request));
	}

	/**
	 * Cancels a request whose caller has disconnected. Has no effect on a request that is
	 * no longer pending.
	 * @param id the request
	 */
	public void cancel(RequestId id) {
		if (this.pending.remove(id) != null) {
			perform(this.scheduler.cancel(this.clock.now(), id));
		}
	}

	/**
	 * Performs the scheduler actions that are due.
	 */
	public void tick() {
		perform(this.scheduler.tick(this.clock.now()));
	}

	/**
	 * Returns the number of requests whose callers have no outcome yet.
	 * @return the count
	 */
	public int pendingCount() {
		return this.pending.size();
	}

	/**
	 * Performs actions in order.
	 * @param actions the actions of the scheduler
	 */
	public void perform(List<RequestAction> actions) {
		for (RequestAction action : actions) {
			perform(action);
		}
	}

	private void perform(RequestAction action) {
		SlotHandler handler = this.slotHandlers.get(action.request());
		if (handler != null) {
			performForSlot(handler, action);
			return;
		}
		PendingRequest entry = this.pending.get(action.request());
		if (action instanceof RequestAction.Dispatch dispatch) {
			dispatch(entry, dispatch);
		}
		else if (action instanceof RequestAction.Forward forward) {
			forward(entry, forward);
		}
		else if (action instanceof RequestAction.Deliver deliver) {
			completeRequest(entry, (entry != null) ? entry.answer(deliver.attempt()) : null);
		}
		else if (action instanceof RequestAction.Refuse refuse) {
			completeRequest(entry, refuse.outcome());
		}
		else if (action instanceof RequestAction.ReportUnknown unknown) {
			resolveUnknown(entry, unknown.outcome());
		}
	}

	private void performForSlot(SlotHandler handler, RequestAction action) {
		if (action instanceof RequestAction.Dispatch dispatch) {
			handler.granted(dispatch.endpoint(),
					new GrantedSlot(dispatch.request(), dispatch.endpoint(), dispatch.attempt()), dispatch.deadline());
			return;
		}
		this.slotHandlers.remove(action.request());
		if (action instanceof RequestAction.Refuse refuse) {
			handler.refused(refuse.outcome().reason(), refuse.outcome().retryAfterMillis());
		}
		else if (!(action instanceof RequestAction.ReportUnknown)) {
			throw new IllegalStateException("unexpected action for a slot request: " + action);
		}
	}

	private void dispatch(PendingRequest entry, RequestAction.Dispatch dispatch) {
		if (entry == null) {
			reportResult(dispatch.request(), new AttemptResult.NotSent(dispatch.attempt()));
			return;
		}
		MonotonicTime start = this.clock.now();
		long timeout = Math.max(1, start.millisUntil(dispatch.deadline()));
		RequestContent content = entry.content();
		EndpointRequest request = new EndpointRequest(attemptId(dispatch.request(), dispatch.attempt()), content.key(),
				content.method(), content.path(), content.headers(), content.body(), timeout);
		entry.setLastEndpoint(dispatch.endpoint());
		this.endpoints.send(dispatch.endpoint(), request)
			.thenAccept((outcome) -> endpointAttemptCompleted(entry, dispatch.endpoint(), dispatch.attempt(), start,
					outcome));
	}

	private void endpointAttemptCompleted(PendingRequest entry, EndpointId endpoint, int attempt, MonotonicTime start,
			EndpointOutcome outcome) {
		if (outcome instanceof EndpointOutcome.Answered answer) {
			entry.putAnswer(attempt, new RequestOutcome.Answered(answer.status(), answer.contentType(), answer.body()));
		}
		reportResult(entry.request().id(), toResult(attempt, start, outcome));
		if (outcome instanceof EndpointOutcome.Broken) {
			refreshInFlight(endpoint);
		}
	}

	// The count that the endpoint reports shows whether a broken attempt still occupies
	// its slot.
	private void refreshInFlight(EndpointId endpoint) {
		MonotonicTime askedAt = this.clock.now();
		this.endpoints.inFlight(endpoint)
			.thenAccept((count) -> count.ifPresent(
					(running) -> perform(this.scheduler.updateInFlight(this.clock.now(), endpoint, askedAt, running))));
	}

	private AttemptResult toResult(int attempt, MonotonicTime start, EndpointOutcome outcome) {
		if (outcome instanceof EndpointOutcome.Answered answer) {
			return new AttemptResult.Answered(attempt, answer.status() >= SERVER_ERROR, elapsed(start));
		}
		if (outcome instanceof EndpointOutcome.Refused refused) {
			return new AttemptResult.Refused(attempt, refused.leaving());
		}
		if (outcome instanceof EndpointOutcome.NotSent) {
			return new AttemptResult.NotSent(attempt);
		}
		return new AttemptResult.Broken(attempt);
	}

	private void forward(PendingRequest entry, RequestAction.Forward forward) {
		if (entry == null) {
			reportResult(forward.request(), new AttemptResult.NotSent(forward.attempt()));
			return;
		}
		MonotonicTime start = this.clock.now();
		RequestId attempt = attemptId(forward.request(), forward.attempt());
		this.forwarder.forward(forward.peer(), attempt, entry.request(), entry.content(), forward.deadline())
			.thenAccept((outcome) -> reportResult(entry.request().id(),
					toResult(entry, forward.attempt(), start, outcome)));
	}

	private AttemptResult toResult(PendingRequest entry, int attempt, MonotonicTime start, ForwardOutcome outcome) {
		if (outcome instanceof ForwardOutcome.NotSent) {
			return new AttemptResult.NotSent(attempt);
		}
		if (outcome instanceof ForwardOutcome.Replied replied) {
			if (replied.outcome() instanceof RequestOutcome.Answered answer) {
				entry.putAnswer(attempt, answer);
				return new AttemptResult.Answered(attempt, answer.status() >= SERVER_ERROR, elapsed(start));
			}
			if (replied.outcome() instanceof RequestOutcome.NotRun notRun) {
				return new AttemptResult.Refused(attempt, notRun.reason() == NotRunReason.SHUTTING_DOWN);
			}
		}
		return new AttemptResult.Broken(attempt);
	}

	// A request with an idempotency key may have run; the endpoint that received the last
	// attempt can report its outcome.
	private void resolveUnknown(PendingRequest entry, RequestOutcome.Unknown unknown) {
		if (entry == null) {
			return;
		}
		if (entry.content().key().isEmpty() || entry.lastEndpoint() == null) {
			completeRequest(entry, unknown);
			return;
		}
		this.endpoints.lookUp(entry.lastEndpoint(), entry.content().key().get()).thenAccept((outcome) -> {
			if (outcome instanceof KeyOutcome.Ran ran) {
				completeRequest(entry, new RequestOutcome.Answered(ran.status(), ran.contentType(), ran.body()));
			}
			else {
				completeRequest(entry, unknown);
			}
		});
	}

	private void reportResult(RequestId id, AttemptResult result) {
		perform(this.scheduler.attemptCompleted(this.clock.now(), id, result));
	}

	private void completeRequest(PendingRequest entry, RequestOutcome outcome) {
		if (entry == null) {
			return;
		}
		if (outcome == null) {
			throw new IllegalStateException("the scheduler delivers an answer that was not received");
		}
		this.pending.remove(entry.request().id(), entry);
		entry.outcome().complete(outcome);
	}

	private long elapsed(MonotonicTime start) {
		return start.until(this.clock.now()).toNanos();
	}

	private static RequestId attemptId(RequestId id, int attempt) {
		return new RequestId(id.value() + "." + attempt);
	}

	private final class GrantedSlot implements Slot {

		private final RequestId id;

		private final EndpointId endpoint;

		private final int attempt;

		private final AtomicBoolean released = new AtomicBoolean();

		private final MonotonicTime start = RequestDriver.this.clock.now();

		GrantedSlot(RequestId id, EndpointId endpoint, int attempt) {
			this.endpoint = endpoint;
			this.id = id;
			this.attempt = attempt;
		}

		@Override
		public void releaseAfter(EndpointOutcome outcome) {
			release(toResult(this.attempt, this.start, outcome));
			if (outcome instanceof EndpointOutcome.Broken) {
				refreshInFlight(this.endpoint);
			}
		}

		@Override
		public void releaseUnused() {
			release(new AttemptResult.NotSent(this.attempt));
		}

		// The records decide on further attempts, so the scheduler must not retry.
		private void release(AttemptResult result) {
			if (!this.released.compareAndSet(false, true)) {
				throw new IllegalStateException("the slot was already released");
			}
			RequestDriver.this.slotHandlers.remove(this.id);
			perform(RequestDriver.this.scheduler.cancel(RequestDriver.this.clock.now(), this.id));
			RequestDriver.this.reportResult(this.id, result);
		}

	}

}
