package io.lentilstream.administration;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.clients.LeaseOutcome;
import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreClient;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WatchOutcome;
import io.lentilstream.clients.WriteOutcome;

/**
 * An in-memory store whose next writes can be made to fail in a given way.
 */
final class FakeStore implements StoreClient {

	final Map<StoreKey, StoredValue> values = new TreeMap<>();

	final Queue<Fault> faults = new ArrayDeque<>();

	final List<StoreWrite> delayed = new ArrayList<>();

	Optional<StoredValue> staleRead = Optional.empty();

	boolean down;

	int calls;

	@Override
	public CompletableFuture<ReadOutcome> read(StoreKey key) {
		this.calls++;
		if (this.down) {
			return completed(new ReadOutcome.Unavailable("down"));
		}
		Optional<StoredValue> current = Optional.ofNullable(this.values.get(key));
		return completed(new ReadOutcome.Read(this.staleRead.isPresent() ? this.staleRead : current));
	}

	@Override
	public CompletableFuture<ListOutcome> list(StoreKey prefix) {
		this.calls++;
		return completed(new ListOutcome.Listed(List.copyOf(this.values.values()), 1));
	}

	@Override
	public CompletableFuture<WriteOutcome> write(StoreWrite write) {
		this.calls++;
		Fault fault = this.faults.isEmpty() ? Fault.NONE : this.faults.remove();
		switch (fault) {
			case NOT_WRITTEN -> {
				return completed(new WriteOutcome.NotWritten("down"));
			}
			case LOST_NOT_APPLIED -> {
				return completed(new WriteOutcome.ReplyLost("timeout"));
			}
			case LOST_APPLIED -> {
				apply(write);
				return completed(new WriteOutcome.ReplyLost("timeout"));
			}
			case LOST_APPLIED_LATER -> {
				this.delayed.add(write);
				return completed(new WriteOutcome.ReplyLost("timeout"));
			}
			default -> {
				return completed(apply(write));
			}
		}
	}

	WriteOutcome apply(StoreWrite write) {
		StoredValue current = this.values.get(write.key());
		long version = (current != null) ? current.version() : StoreWrite.ABSENT;
		if (version != write.expectedVersion()) {
			return new WriteOutcome.Conflict(Optional.ofNullable(current));
		}
		this.values.put(write.key(), new StoredValue(write.key(), write.value().orElseThrow(), version + 7));
		return new WriteOutcome.Written(version + 7);
	}

	@Override
	public CompletableFuture<LeaseOutcome> grantLease(Duration ttl) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<LeaseOutcome> renewLease(LeaseId lease) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<LeaseOutcome> revokeLease(LeaseId lease) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<WatchOutcome> watch(StoreKey prefix, long afterRevision, Duration wait) {
		throw new UnsupportedOperationException();
	}

	private static <T> CompletableFuture<T> completed(T outcome) {
		return CompletableFuture.completedFuture(outcome);
	}

	enum Fault {

		NONE, NOT_WRITTEN, LOST_APPLIED, LOST_NOT_APPLIED, LOST_APPLIED_LATER

	}

}
