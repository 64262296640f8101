package io.lentilstream.entry.fakes;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
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
 * An in-memory store that can be down or lose the replies to writes.
 */
public final class FakeStore implements StoreClient {

	private final TreeMap<StoreKey, StoredValue> values = new TreeMap<>();

	private long revision;

	private boolean down;

	private int repliesToLose;

	private int writes;

	public void setDown(boolean down) {
		this.down = down;
	}

	public void loseReplies(int count) {
		this.repliesToLose = count;
	}

	public int writes() {
		return this.writes;
	}

	@Override
	public CompletableFuture<ReadOutcome> read(StoreKey key) {
		return CompletableFuture.completedFuture(this.down ? new ReadOutcome.Unavailable("down")
				: new ReadOutcome.Read(Optional.ofNullable(this.values.get(key))));
	}

	@Override
	public CompletableFuture<ListOutcome> list(StoreKey prefix) {
		List<StoredValue> found = this.values.values()
			.stream()
			.filter((value) -> value.key().path().startsWith(prefix.path()))
			.toList();
		return CompletableFuture.completedFuture(
				this.down ? new ListOutcome.Unavailable("down") : new ListOutcome.Listed(found, this.revision));
	}

	@Override
	public CompletableFuture<WriteOutcome> write(StoreWrite write) {
		return CompletableFuture.completedFuture(writeNow(write));
	}

	private WriteOutcome writeNow(StoreWrite write) {
		if (this.down) {
			return new WriteOutcome.NotWritten("down");
		}
		StoredValue current = this.values.get(write.key());
		long version = (current != null) ? current.version() : StoreWrite.ABSENT;
		if (version != write.expectedVersion()) {
			return new WriteOutcome.Conflict(Optional.ofNullable(current));
		}
		this.writes++;
		this.revision++;
		this.values.put(write.key(), new StoredValue(write.key(), write.value().orElseThrow(), this.revision));
		if (this.repliesToLose > 0) {
			this.repliesToLose--;
			return new WriteOutcome.ReplyLost("lost");
		}
		return new WriteOutcome.Written(this.revision);
	}

	@Override
	public CompletableFuture<LeaseOutcome> grantLease(Duration ttl) {
		return CompletableFuture.completedFuture(new LeaseOutcome.Granted(new LeaseId(1)));
	}

	@Override
	public CompletableFuture<LeaseOutcome> renewLease(LeaseId lease) {
		return CompletableFuture.completedFuture(new LeaseOutcome.Granted(lease));
	}

	@Override
	public CompletableFuture<LeaseOutcome> revokeLease(LeaseId lease) {
		return CompletableFuture.completedFuture(new LeaseOutcome.Granted(lease));
	}

	@Override
	public CompletableFuture<WatchOutcome> watch(StoreKey prefix, long afterRevision, Duration wait) {
		return new CompletableFuture<>();
	}

}
