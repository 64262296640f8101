package io.lentilstream.entry.work;

import java.util.concurrent.CompletableFuture;

import io.lentilstream.entry.http.ProblemDetails;
import io.lentilstream.entry.records.RecordShardDriver;
import io.lentilstream.entry.records.WorkKind;
import io.lentilstream.entry.records.WorkKindDirectory;
import io.lentilstream.entry.records.WorkOutcome;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.requests.records.RecordKey;

/**
 * Answers calls about deferrable requests from an owned request shard.
 */
public final class RecordCallHandler implements OwnerCallHandler {

	private final RecordShardDriver shard;

	private final WorkKindDirectory kinds;

	/**
	 * Creates a handler.
	 * @param shard the owned shard
	 * @param kinds finds kinds in the settings in force
	 */
	public RecordCallHandler(RecordShardDriver shard, WorkKindDirectory kinds) {
		this.shard = shard;
		this.kinds = kinds;
	}

	@Override
	public CompletableFuture<RequestOutcome> handle(OwnerCall call) {
		RecordKey key = new RecordKey(call.team(), call.key());
		if (call.operation() == OwnerCall.Operation.COLLECT) {
			return this.shard.look(key).thenApply((outcome) -> told(call.key(), outcome));
		}
		WorkKind kind = call.kind().flatMap((name) -> this.kinds.find(call.team(), name)).orElse(null);
		if (kind == null) {
			return CompletableFuture.completedFuture(
					ProblemAnswers.of(ProblemDetails.notFound("The kind is not in the settings of the team.")));
		}
		return this.shard.offer(key, call.kind().get(), call.body(), kind.keepMillis())
			.thenApply((outcome) -> told(call.key(), outcome));
	}

	private static RequestOutcome told(IdempotencyKey key, WorkOutcome outcome) {
		if (outcome instanceof WorkOutcome.Told told) {
			return told.outcome();
		}
		if (outcome instanceof WorkOutcome.Conflict) {
			return ProblemAnswers.of(ProblemDetails.keyConflict(key));
		}
		if (outcome instanceof WorkOutcome.TooLarge large) {
			return ProblemAnswers.of(ProblemDetails.simple("too-large", 413, "The request is too large",
					"A deferrable request may have at most %d bytes.".formatted(large.maxBytes())));
		}
		return ProblemAnswers.of(ProblemDetails.notFound("No request with this key is known."));
	}

}
