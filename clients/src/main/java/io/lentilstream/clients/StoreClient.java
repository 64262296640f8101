package io.lentilstream.clients;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Calls the platform's store. Each call counts against the store's budget, a waiting
 * watch as one. No future completes exceptionally; failures are outcomes.
 */
public interface StoreClient {

	/**
	 * Largest value that the store holds, in bytes.
	 */
	int MAX_VALUE_BYTES = 1_000_000;

	/**
	 * Reads one key.
	 * @param key the key
	 * @return the outcome
	 */
	CompletableFuture<ReadOutcome> read(StoreKey key);

	/**
	 * Reads all keys that start with a prefix, in one call.
	 * @param prefix the prefix
	 * @return the outcome
	 */
	CompletableFuture<ListOutcome> list(StoreKey prefix);

	/**
	 * Writes one key if it still has the expected version.
	 * @param write the write
	 * @return the outcome
	 */
	CompletableFuture<WriteOutcome> write(StoreWrite write);

	/**
	 * Grants a new lease.
	 * @param ttl how long the lease lasts without renewal
	 * @return the outcome
	 */
	CompletableFuture<LeaseOutcome> grantLease(Duration ttl);

	/**
	 * Renews a lease for its original duration.
	 * @param lease the lease
	 * @return the outcome
	 */
	CompletableFuture<LeaseOutcome> renewLease(LeaseId lease);

	/**
	 * Ends a lease and deletes its keys.
	 * @param lease the lease
	 * @return the outcome
	 */
	CompletableFuture<LeaseOutcome> revokeLease(LeaseId lease);

	/**
	 * Waits for changes below a prefix.
	 * @param prefix the prefix
	 * @param afterRevision the revision that the caller has seen
	 * @param wait the longest time to wait for a change
	 * @return the outcome
	 */
	CompletableFuture<WatchOutcome> watch(StoreKey prefix, long afterRevision, Duration wait);

}
