package io.lentilstream.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;

import io.lentilstream.entry.calls.OwnerCall;
import io.lentilstream.entry.calls.OwnerRouter;
import io.lentilstream.entry.requests.RequestContent;
import io.lentilstream.entry.requests.RequestDriver;
import io.lentilstream.entry.telemetry.Tracing;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.VmId;
import io.lentilstream.requests.IncomingRequest;
import io.lentilstream.requests.ServiceKey;
import io.lentilstream.wire.PeerFrame;
import io.lentilstream.wire.PeerMessage;
import io.lentilstream.wire.PeerTransport;
import io.lentilstream.wire.SendOutcome;

/**
 * The handler of requests that peers forward. It replies with their outcomes.
 */
final class ForwardedRequestHandler {

	private final RequestDriver driver;

	private final OwnerRouter ownerRouter;

	private final Supplier<PeerTransport> transport;

	private final Tracing tracing;

	private final MonotonicClock clock;

	ForwardedRequestHandler(RequestDriver driver, OwnerRouter ownerRouter, Supplier<PeerTransport> transport,
			Tracing tracing, MonotonicClock clock) {
		this.driver = driver;
		this.ownerRouter = ownerRouter;
		this.transport = transport;
		this.tracing = tracing;
		this.clock = clock;
	}

	void handle(VmId from, PeerFrame frame, PeerMessage.ForwardRequest message) {
		Span span = this.tracing.startSpan("entry.forwarded", SpanKind.SERVER, frame.traceparent());
		span.setAttribute("request.id", message.id().value());
		span.setAttribute("peer", from.value());
		execute(message, Tracing.traceparent(span)).thenAccept((outcome) -> {
			span.end();
			sendReply(from, frame.correlationId(), message, outcome);
		});
	}

	private CompletableFuture<RequestOutcome> execute(PeerMessage.ForwardRequest message, String traceparent) {
		if (message.service().isPresent()) {
			IncomingRequest request = new IncomingRequest(message.id(),
					new ServiceKey(message.team(), message.service().get()), message.urgency(),
					this.clock.now().plusMillis(message.remainingMillis()), message.repeatable(), true, 0);
			java.util.Map<String, String> headers = new java.util.HashMap<>(message.headers());
			headers.put(Tracing.TRACEPARENT, traceparent);
			return this.driver.submit(request, new RequestContent(message.method(), message.target(), headers,
					message.body().array(), message.key()));
		}
		Optional<OwnerCall> call = OwnerRouter.parse(message);
		if (call.isEmpty()) {
			return CompletableFuture.completedFuture(new RequestOutcome.NotRun(NotRunReason.OWNER_UNAVAILABLE, 0));
		}
		return this.ownerRouter.handleForwarded(call.get());
	}

	private void sendReply(VmId to, String correlation, PeerMessage.ForwardRequest message, RequestOutcome outcome) {
		PeerMessage reply = (outcome instanceof RequestOutcome.NotRun notRun)
				? new PeerMessage.ForwardRefusal(message.id(), notRun.reason(), notRun.retryAfterMillis())
				: new PeerMessage.ForwardAnswer(message.id(), outcome);
		SendOutcome sendOutcome = this.transport.get().send(to, new PeerFrame(correlation, "", reply));
		if (sendOutcome instanceof SendOutcome.TooLarge) {
			this.transport.get()
				.send(to, new PeerFrame(correlation, "",
						new PeerMessage.ForwardAnswer(message.id(), new RequestOutcome.Unknown(message.id()))));
		}
	}

}
