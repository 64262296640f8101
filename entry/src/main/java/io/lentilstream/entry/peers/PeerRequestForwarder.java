package io.lentilstream.entry.peers;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.lentilstream.entry.requests.ForwardOutcome;
import io.lentilstream.entry.requests.RequestContent;
import io.lentilstream.entry.requests.RequestForwarder;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.VmId;
import io.lentilstream.requests.IncomingRequest;
import io.lentilstream.wire.PeerFrame;
import io.lentilstream.wire.PeerMessage;
import io.lentilstream.wire.PeerTransport;
import io.lentilstream.wire.SendOutcome;

/**
 * Forwards requests to peers over frames and matches their replies by correlation id.
 */
public final class PeerRequestForwarder implements RequestForwarder {

	private final Supplier<PeerTransport> transport;

	private final MonotonicClock clock;

	private final ScheduledExecutorService timers;

	private final Map<String, PendingForward> pending = new ConcurrentHashMap<>();

	/**
	 * Creates a forwarder.
	 * @param transport carries the frames
	 * @param clock tells the time
	 * @param timers ends attempts without a reply
	 */
	public PeerRequestForwarder(Supplier<PeerTransport> transport, MonotonicClock clock,
			ScheduledExecutorService timers) {
		this.transport = transport;
		this.clock = clock;
		this.timers = timers;
	}

	@Override
	public CompletableFuture<ForwardOutcome> forward(VmId peer, RequestId attempt, IncomingRequest request,
			RequestContent content, MonotonicTime deadline) {
		long remaining = Math.max(1, this.clock.now().millisUntil(deadline));
		PeerMessage.ForwardRequest message = new PeerMessage.ForwardRequest(attempt, request.service().team(),
				Optional.of(request.service().service()), Optional.empty(), content.key(), request.urgency(),
				request.repeatable(), remaining, content.method(), content.path(), content.headers(),
				new PeerMessage.Bytes(content.body()));
		return send(peer, message, content.headers().getOrDefault("traceparent", ""), remaining);
	}

	/**
	 * Sends a forwarded request and waits for its reply.
	 * @param peer the entry VM to send it to
	 * @param message the request
	 * @param traceparent the trace context
	 * @param timeoutMillis milliseconds after which the attempt ends
	 * @return the outcome; never completes exceptionally
	 */
	public CompletableFuture<ForwardOutcome> send(VmId peer, PeerMessage.ForwardRequest message, String traceparent,
			long timeoutMillis) {
		String correlation = message.id().value();
		PendingForward entry = new PendingForward(peer, new CompletableFuture<>());
		this.pending.put(correlation, entry);
		SendOutcome sendOutcome = this.transport.get().send(peer, new PeerFrame(correlation, traceparent, message));
		if (!(sendOutcome instanceof SendOutcome.Queued)) {
			this.pending.remove(correlation);
			return CompletableFuture.completedFuture(new ForwardOutcome.NotSent(sendOutcome.toString()));
		}
		ScheduledFuture<?> timeout = this.timers.schedule(
				() -> completeForward(correlation, new ForwardOutcome.Broken("timeout")), timeoutMillis,
				TimeUnit.MILLISECONDS);
		entry.reply().whenComplete((outcome, failure) -> timeout.cancel(false));
		return entry.reply();
	}

	/**
	 * Takes a reply of a peer. A late or unknown reply, or one of another peer than the
	 * request went to, is discarded.
	 * @param from the sender
	 * @param frame the reply
	 */
	public void replyReceived(VmId from, PeerFrame frame) {
		PendingForward entry = this.pending.get(frame.correlationId());
		if (entry == null || !entry.peer().equals(from)) {
			return;
		}
		if (frame.message() instanceof PeerMessage.ForwardAnswer answer) {
			completeForward(frame.correlationId(), new ForwardOutcome.Replied(answer.outcome()));
		}
		else if (frame.message() instanceof PeerMessage.ForwardRefusal notRun) {
			completeForward(frame.correlationId(),
					new ForwardOutcome.Replied(new RequestOutcome.NotRun(notRun.reason(), notRun.retryAfterMillis())));
		}
	}

	/**
	 * Ends all attempts at a peer whose link ended.
	 * @param peer the peer
	 */
	public void linkDown(VmId peer) {
		this.pending.forEach((correlation, entry) -> {
			if (entry.peer().equals(peer)) {
				completeForward(correlation, new ForwardOutcome.Broken("link ended"));
			}
		});
	}

	private void completeForward(String correlation, ForwardOutcome outcome) {
		PendingForward entry = this.pending.remove(correlation);
		if (entry != null) {
			entry.reply().complete(outcome);
		}
	}

	private record PendingForward(VmId peer, CompletableFuture<ForwardOutcome> reply) {
	}

}
