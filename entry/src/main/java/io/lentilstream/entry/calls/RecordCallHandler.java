package io.lentilstream.entry.calls;

import java.util.concurrent.CompletableFuture;

import io.lentilstream.entry.http.ProblemDetails;
import io.lentilstream.entry.records.DeferrableKind;
import io.lentilstream.entry.records.DeferrableKindDirectory;
import io.lentilstream.entry.records.RecordResponse;
import io.lentilstream.entry.records.RequestShardDriver;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.requests.records.RecordKey;

/**
 * A handler of calls about deferrable requests of an owned request shard.
 */
public final class RecordCallHandler implements OwnerCallHandler {

	private final RequestShardDriver shard;

	private final DeferrableKindDirectory kinds;

	/**
	 * Creates a handler.
	 * @param shard the owned shard
	 * @param kinds finds kinds in the settings in force
	 */
	public RecordCallHandler(RequestShardDriver shard, DeferrableKindDirectory kinds) {
		this.shard = shard;
		this.kinds = kinds;
	}

	@Override
	public CompletableFuture<RequestOutcome> handle(OwnerCall call) {
		RecordKey key = new RecordKey(call.team(), call.key());
		if (call.operation() == OwnerCall.Operation.COLLECT) {
			return this.shard.findOutcome(key).thenApply((response) -> toOutcome(call.key(), response));
		}
		DeferrableKind kind = call.kind().flatMap((name) -> this.kinds.find(call.team(), name)).orElse(null);
		if (kind == null) {
			return CompletableFuture.completedFuture(
					ProblemOutcomes.of(ProblemDetails.notFound("The kind is not in the settings of the team.")));
		}
		return this.shard.offer(key, call.kind().get(), call.body(), kind.retentionMillis())
			.thenApply((response) -> toOutcome(call.key(), response));
	}

	private static RequestOutcome toOutcome(IdempotencyKey key, RecordResponse response) {
		if (response instanceof RecordResponse.Outcome known) {
			return known.outcome();
		}
		if (response instanceof RecordResponse.Conflict) {
			return ProblemOutcomes.of(ProblemDetails.keyConflict(key));
		}
		if (response instanceof RecordResponse.TooLarge tooLarge) {
			return ProblemOutcomes.of(ProblemDetails.simple("too-large", 413, "The request is too large",
					"A deferrable request may have at most %d bytes.".formatted(tooLarge.maxBytes())));
		}
		return ProblemOutcomes.of(ProblemDetails.notFound("No request with this key is known."));
	}

}
