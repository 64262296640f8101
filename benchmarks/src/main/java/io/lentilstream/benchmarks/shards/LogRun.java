package io.lentilstream.benchmarks.shards;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Supplier;

import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.shards.log.LogAction;
import io.lentilstream.shards.log.ShardLog;
import io.lentilstream.shards.log.ShardLogSettings;

/**
 * Runs one shard log against the store in virtual time; each store call takes 5 ms.
 */
final class LogRun {

	private static final long CALL_MILLIS = 5;

	private final MemoryStore store;

	private final ShardLog log;

	private final byte[] snapshot;

	private final PriorityQueue<Reply> replies = new PriorityQueue<>(Comparator.comparing(Reply::at));

	private MonotonicTime now = MonotonicTime.ofMillis(0);

	private long committed;

	private long refused;

	private long calls;

	private boolean recovered;

	LogRun(MemoryStore store, long epoch, byte[] snapshot) {
		this.store = store;
		this.snapshot = snapshot;
		this.log = new ShardLog(ShardLogSettings.defaults(), new ShardId("zone-1", 0), new Epoch(epoch), this.now);
	}

	/**
	 * Recovers the log.
	 * @return the milliseconds of virtual time, for the store calls alone
	 */
	long recover() {
		MonotonicTime start = this.now;
		take(this.log.tick(this.now));
		while (!this.recovered) {
			run(1);
		}
		return start.millisUntil(this.now);
	}

	/**
	 * Appends entries one by one at a fixed rate.
	 * @param entries the number of entries
	 * @param perSecond the rate
	 * @param entry the entry
	 */
	void append(long entries, double perSecond, byte[] entry) {
		MonotonicTime start = this.now;
		for (long i = 0; i < entries; i++) {
			MonotonicTime at = start.plusMillis((long) (i * 1_000 / perSecond));
			run(this.now.millisUntil(at));
			take(this.log.append(this.now, List.of(entry), i));
		}
	}

	/**
	 * Appends one entry per commit.
	 * @param records the number of commits
	 * @param entry the entry
	 */
	void appendRecords(long records, byte[] entry) {
		for (long i = 0; i < records; i++) {
			take(this.log.append(this.now, List.of(entry), i));
			while (!this.log.isIdle()) {
				run(10);
			}
		}
	}

	void run(long millis) {
		MonotonicTime end = this.now.plusMillis(millis);
		while (true) {
			Optional<MonotonicTime> wakeUp = this.log.nextWakeUp();
			MonotonicTime next = this.replies.isEmpty() ? end : this.replies.peek().at();
			if (wakeUp.isPresent() && wakeUp.get().isBefore(next)) {
				next = wakeUp.get();
			}
			if (!next.isBefore(end)) {
				this.now = end;
				return;
			}
			this.now = next.isAfter(this.now) ? next : this.now;
			boolean isReply = !this.replies.isEmpty() && !this.now.isBefore(this.replies.peek().at());
			take(isReply ? this.replies.remove().outcome().get() : this.log.tick(this.now));
		}
	}

	long committed() {
		return this.committed;
	}

	long refused() {
		return this.refused;
	}

	long calls() {
		return this.calls;
	}

	private void take(List<LogAction> actions) {
		for (LogAction action : actions) {
			if (action instanceof LogAction.Write write) {
				reply(() -> this.log.completed(this.now, write.id(), this.store.write(write.write())));
			}
			else if (action instanceof LogAction.Read read) {
				reply(() -> this.log.completed(this.now, read.id(), this.store.read(read.key())));
			}
			else if (action instanceof LogAction.ListKeys list) {
				reply(() -> this.log.completed(this.now, list.id(), this.store.list(list.prefix())));
			}
			else if (action instanceof LogAction.Committed done) {
				this.committed += done.tokens().size();
			}
			else if (action instanceof LogAction.Refused) {
				this.refused++;
			}
			else if (action instanceof LogAction.SnapshotNeeded needed) {
				take(this.log.writeSnapshot(this.now, needed.sequence(), this.snapshot));
			}
			else {
				this.recovered |= action instanceof LogAction.Recovered;
			}
		}
	}

	private void reply(Supplier<List<LogAction>> outcome) {
		this.calls++;
		this.replies.add(new Reply(this.now.plusMillis(CALL_MILLIS), outcome));
	}

	private record Reply(MonotonicTime at, Supplier<List<LogAction>> outcome) {
	}

}
