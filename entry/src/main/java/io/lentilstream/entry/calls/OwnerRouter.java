package io.lentilstream.entry.calls;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import io.lentilstream.entry.peers.PeerRequestForwarder;
import io.lentilstream.entry.requests.ForwardOutcome;
import io.lentilstream.entry.requests.RequestIds;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;
import io.lentilstream.wire.PeerMessage;

/**
 * A router of calls to the owner of their shard, which is this entry VM or the peer that
 * reported the shard as its own.
 */
public final class OwnerRouter implements OwnerCallHandler {

	private static final long TIMEOUT_MILLIS = 10_000;

	/**
	 * Timeout of a call that is handled on this VM, in milliseconds. It is shorter than
	 * the timeout of a forwarded call, so that the reply of the peer arrives before that.
	 */
	private static final long LOCAL_TIMEOUT_MILLIS = 8_000;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final Function<OwnerCall, ShardId> shardOf;

	private final Function<ShardId, Optional<OwnerCallHandler>> localHandlerOf;

	private final Function<ShardId, Optional<VmId>> remoteOwnerOf;

	private final PeerRequestForwarder forwarder;

	private final RequestIds ids;

	private final AtomicInteger inFlight = new AtomicInteger();

	/**
	 * Creates a router.
	 * @param shardOf maps a call to its shard
	 * @param localHandlerOf returns the handler of a shard that this entry VM owns
	 * @param remoteOwnerOf returns the peer that owns a shard
	 * @param forwarder forwards calls to peers
	 * @param ids generates the ids of forwarded calls
	 */
	public OwnerRouter(Function<OwnerCall, ShardId> shardOf,
			Function<ShardId, Optional<OwnerCallHandler>> localHandlerOf,
			Function<ShardId, Optional<VmId>> remoteOwnerOf, PeerRequestForwarder forwarder, RequestIds ids) {
		this.shardOf = shardOf;
		this.localHandlerOf = localHandlerOf;
		this.remoteOwnerOf = remoteOwnerOf;
		this.forwarder = forwarder;
		this.ids = ids;
	}

	/**
	 * Returns the number of calls whose callers have no outcome yet.
	 * @return the count, excluding calls that peers forwarded
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	@Override
	public CompletableFuture<RequestOutcome> handle(OwnerCall call) {
		this.inFlight.incrementAndGet();
		return route(call).whenComplete((outcome, failure) -> this.inFlight.decrementAndGet());
	}

	private CompletableFuture<RequestOutcome> route(OwnerCall call) {
		ShardId shard = this.shardOf.apply(call);
		Optional<OwnerCallHandler> handler = this.localHandlerOf.apply(shard);
		if (handler.isPresent()) {
			return handleLocally(handler.get(), call);
		}
		Optional<VmId> peer = this.remoteOwnerOf.apply(shard);
		if (peer.isEmpty()) {
			return CompletableFuture.completedFuture(ownerUnavailable());
		}
		return forward(peer.get(), call);
	}

	/**
	 * Handles a call that a peer forwarded. It is not forwarded again, which prevents a
	 * forwarding loop between two peers with outdated ownership information.
	 * @param call the call
	 * @return the outcome for the caller
	 */
	public CompletableFuture<RequestOutcome> handleForwarded(OwnerCall call) {
		return this.localHandlerOf.apply(this.shardOf.apply(call))
			.map((handler) -> handleLocally(handler, call))
			.orElseGet(() -> CompletableFuture.completedFuture(ownerUnavailable()));
	}

	// The log entry may still become durable when the store recovers, so the outcome is
	// unknown after the timeout.
	private static CompletableFuture<RequestOutcome> handleLocally(OwnerCallHandler handler, OwnerCall call) {
		return handler.handle(call)
			.completeOnTimeout(new RequestOutcome.Unknown(new RequestId(call.key().value())), LOCAL_TIMEOUT_MILLIS,
					TimeUnit.MILLISECONDS);
	}

	private CompletableFuture<RequestOutcome> forward(VmId peer, OwnerCall call) {
		RequestId id = this.ids.next();
		PeerMessage.ForwardRequest message = new PeerMessage.ForwardRequest(id, call.team(), Optional.empty(),
				call.kind(), Optional.of(call.key()), Urgency.DEFERRABLE, false, TIMEOUT_MILLIS,
				call.operation().method(), "", Map.of(), new PeerMessage.Bytes(call.body()));
		return this.forwarder.send(peer, message, "", TIMEOUT_MILLIS).thenApply((outcome) -> toOutcome(call, outcome));
	}

	private static RequestOutcome toOutcome(OwnerCall call, ForwardOutcome outcome) {
		if (outcome instanceof ForwardOutcome.Replied replied) {
			return replied.outcome();
		}
		if (outcome instanceof ForwardOutcome.NotSent) {
			return ownerUnavailable();
		}
		return new RequestOutcome.Unknown(new RequestId(call.key().value()));
	}

	private static RequestOutcome ownerUnavailable() {
		return new RequestOutcome.NotRun(NotRunReason.OWNER_UNAVAILABLE, RETRY_AFTER_MILLIS);
	}

	/**
	 * Parses a call from a forwarded request.
	 * @param message the forwarded request
	 * @return the call, or empty if the message is not an owner call
	 */
	public static Optional<OwnerCall> parse(PeerMessage.ForwardRequest message) {
		if (message.service().isPresent() || message.key().isEmpty()) {
			return Optional.empty();
		}
		for (OwnerCall.Operation operation : OwnerCall.Operation.values()) {
			if (operation.method().equals(message.method()) && operation.isJob() == message.workKind().isEmpty()) {
				return Optional.of(new OwnerCall(operation, message.team(), message.workKind(), message.key().get(),
						message.body().array()));
			}
		}
		return Optional.empty();
	}

}
