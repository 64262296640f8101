package io.lentilstream.entry.calls;

import java.util.concurrent.CompletableFuture;

import io.lentilstream.model.RequestOutcome;

/**
 * Answers calls that only the owner of a shard can answer.
 */
@FunctionalInterface
public interface OwnerCallHandler {

	/**
	 * Answers a call.
	 * @param call the call
	 * @return what the caller is told; never completes exceptionally
	 */
	CompletableFuture<RequestOutcome> handle(OwnerCall call);

}
