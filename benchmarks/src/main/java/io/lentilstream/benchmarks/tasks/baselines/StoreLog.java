package io.lentilstream.benchmarks.tasks.baselines;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import io.lentilstream.benchmarks.shards.MemoryStore;
import io.lentilstream.shards.log.LogAction;
import io.lentilstream.shards.log.ShardLog;
import io.lentilstream.shards.log.ShardLogSettings;

/**
 * Commits through a {@link ShardLog} over a store in memory; each store call takes 5 ms.
 */
final class StoreLog implements DurableLog {

	private static final long CALL_MILLIS = 5;

	private final EventQueue events;

	private final MemoryStore store = new MemoryStore();

	private final ShardLog log;

	private final Map<Long, Runnable> waiting = new HashMap<>();

	private Supplier<byte[]> snapshots;

	private byte[] snapshot;

	private long snapshotToken;

	private long lastToken;

	private long committedToken;

	private long refused;

	StoreLog(EventQueue events) {
		this.events = events;
		this.log = new ShardLog(ShardLogSettings.defaults(), TaskShardPolicy.SHARD, TaskShardPolicy.EPOCH,
				events.now());
		events.every(1, 1, this::wakeUp);
	}

	/**
	 * Sets where snapshots come from.
	 * @param source returns a snapshot with the entries of all appends so far
	 */
	void snapshotsFrom(Supplier<byte[]> source) {
		this.snapshots = source;
	}

	@Override
	public void append(List<byte[]> entries, Runnable durable) {
		this.waiting.put(++this.lastToken, durable);
		take(this.log.append(this.events.now(), entries, this.lastToken));
	}

	boolean isOpen() {
		return this.log.isOpen();
	}

	long writes() {
		return this.store.writes();
	}

	long refused() {
		return this.refused;
	}

	private void wakeUp() {
		if (this.log.nextWakeUp().filter((time) -> !time.isAfter(this.events.now())).isPresent()) {
			take(this.log.tick(this.events.now()));
		}
	}

	private void take(List<LogAction> actions) {
		for (LogAction action : actions) {
			if (action instanceof LogAction.Write write) {
				reply(() -> this.log.completed(this.events.now(), write.id(), this.store.write(write.write())));
			}
			else if (action instanceof LogAction.Read read) {
				reply(() -> this.log.completed(this.events.now(), read.id(), this.store.read(read.key())));
			}
			else if (action instanceof LogAction.ListKeys list) {
				reply(() -> this.log.completed(this.events.now(), list.id(), this.store.list(list.prefix())));
			}
			else if (action instanceof LogAction.Committed committed) {
				committed.tokens().forEach((token) -> this.waiting.remove(token).run());
				this.committedToken = committed.tokens().get(committed.tokens().size() - 1);
				writeSnapshot(committed.sequence());
			}
			else if (action instanceof LogAction.SnapshotNeeded needed) {
				this.snapshot = this.snapshots.get();
				this.snapshotToken = this.lastToken;
				writeSnapshot(needed.sequence());
			}
			else if (action instanceof LogAction.Refused) {
				this.refused++;
			}
			else if (!(action instanceof LogAction.Recovered)) {
				throw new IllegalStateException("the log stopped: " + action);
			}
		}
	}

	// The snapshot has the effect of all appends before it, so these come first.
	private void writeSnapshot(long sequence) {
		if (this.snapshot != null && this.committedToken >= this.snapshotToken) {
			byte[] bytes = this.snapshot;
			this.snapshot = null;
			take(this.log.writeSnapshot(this.events.now(), sequence, bytes));
		}
	}

	private void reply(Supplier<List<LogAction>> outcome) {
		this.events.after(CALL_MILLIS, () -> take(outcome.get()));
	}

}
