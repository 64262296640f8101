package io.lentilstream.entry.calls;

import java.util.concurrent.CompletableFuture;

import io.lentilstream.model.RequestOutcome;

/**
 * A handler of calls that only the owner of a shard can handle.
 */
@FunctionalInterface
public interface OwnerCallHandler {

	/**
	 * Handles a call.
	 * @param call the call
	 * @return the outcome for the caller; never completes exceptionally
	 */
	CompletableFuture<RequestOutcome> handle(OwnerCall call);

}
