package io.lentilstream.entry.shards;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreClient;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WriteOutcome;

/**
 * A check that all entry VMs divide a scope into the same number of shards. With
 * different numbers, two owners could commit capacity of the same VM.
 */
public final class ShardCountCheck {

	private static final StoreKey PREFIX = new StoreKey("/lentilstream/scopes");

	private final StoreClient store;

	/**
	 * Creates the check.
	 * @param store the store that holds the shard counts
	 */
	public ShardCountCheck(StoreClient store) {
		this.store = store;
	}

	/**
	 * Records the shard count of a scope in the store, or compares it with the count that
	 * is already recorded.
	 * @param scope the availability zone or region
	 * @param shards the shard count in the settings of this process
	 * @return {@code true} if the counts match, {@code false} if they differ, or empty if
	 * the store did not confirm either
	 */
	public CompletableFuture<Optional<Boolean>> recordOrCompare(String scope, int shards) {
		StoreKey key = PREFIX.child(scope);
		byte[] expected = Integer.toString(shards).getBytes(StandardCharsets.UTF_8);
		return this.store.read(key).thenCompose((outcome) -> {
			if (!(outcome instanceof ReadOutcome.Read read)) {
				return CompletableFuture.completedFuture(Optional.empty());
			}
			if (read.value().isPresent()) {
				return CompletableFuture.completedFuture(Optional.of(matches(read.value().get(), expected)));
			}
			return this.store.write(StoreWrite.put(key, expected, StoreWrite.ABSENT)).thenApply((written) -> {
				if (written instanceof WriteOutcome.Written) {
					return Optional.of(true);
				}
				if (written instanceof WriteOutcome.Conflict conflict && conflict.current().isPresent()) {
					return Optional.of(matches(conflict.current().get(), expected));
				}
				// The next attempt reads the value that the store holds.
				return Optional.empty();
			});
		});
	}

	private static boolean matches(StoredValue value, byte[] expected) {
		return java.util.Arrays.equals(value.value(), expected);
	}

}
