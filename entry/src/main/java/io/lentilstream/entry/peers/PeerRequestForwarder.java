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
 * A request forwarder that sends frames to peers and matches replies by correlation id.
 */
public final class PeerRequestForwarder implements RequestForwarder {

	private final Supplier<PeerTransport> transport;

	private final MonotonicClock clock;

	private final ScheduledExecutorService timers;

	private final Map<String, PendingForward> pending = new ConcurrentHashMap<>();

	/**
	 * Creates a forwarder.
	 * @param transport supplies the transport of the frames
	 * @param clock the monotonic clock
	 * @param timers schedules the timeouts of attempts
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
	 * Sends a forwarded request to a peer.
	 * @param peer the entry VM to send it to
	 * @param message the request
	 * @param traceparent the trace context
	 * @param timeoutMillis the timeout of the attempt, in milliseconds
	 * @return the outcome, completed by the reply, the timeout or the end of the link;
	 * never completes exceptionally
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
	 * Completes the attempt that a reply belongs to. A late or unknown reply, or a reply
	 * from a peer other than the one the request was sent to, is discarded.
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
	 * Completes all attempts at a peer as broken because its link closed.
	 * @param peer the peer
	 */
	public void linkDown(VmId peer) {
		this.pending.forEach((correlation, entry) -> {
			if (entry.peer().equals(peer)) {
				completeForward(correlation, new ForwardOutcome.Broken("link closed"));
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
