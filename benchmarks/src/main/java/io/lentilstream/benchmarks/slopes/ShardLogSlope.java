package io.lentilstream.benchmarks.slopes;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.lentilstream.clients.StoreWrite;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.shards.log.LogAction;
import io.lentilstream.shards.log.ShardLog;
import io.lentilstream.shards.log.ShardLogSettings;

/**
 * Measures the bytes of log entries of a task shard, and the store writes of a shard log
 * by the rate of starts, in virtual time with snapshots, and of a takeover of the log.
 */
final class ShardLogSlope implements SlopeMeasurement {

	private static final long STORE_MILLIS = 5;

	private static final long STEP_MILLIS = 10;

	private static final int TASKS_PER_WORKER = 34;

	// 540,000 tasks over 91 owners.
	private static final int OWNED_TASKS = 5_934;

	private static final int[] TASKS = { 500, 1_000, 2_000, 4_000 };

	private final int[] startsPerSecond;

	private final int seconds;

	ShardLogSlope(int[] startsPerSecond, int seconds) {
		this.startsPerSecond = startsPerSecond;
		this.seconds = seconds;
	}

	@Override
	public List<Slope> measure() {
		List<SlopePoint> bytes = new ArrayList<>();
		for (int tasks : TASKS) {
			List<byte[]> entries = TaskShardRun.fill(Math.max(1, tasks / TASKS_PER_WORKER), tasks).entries();
			bytes.add(new SlopePoint(tasks, entries.stream().mapToLong((entry) -> entry.length).sum()));
		}
		Slope entryBytes = Slope.of("log-entry-bytes", "bytes", "starts", bytes);
		int bytesPerStart = (int) Math.max(1, Math.round(entryBytes.fit().slope()));
		byte[] snapshot = TaskShardRun.fill(OWNED_TASKS / TASKS_PER_WORKER, OWNED_TASKS).shard().snapshot();
		List<SlopePoint> writes = new ArrayList<>();
		List<SlopePoint> writtenBytes = new ArrayList<>();
		List<SlopePoint> takeoverReads = new ArrayList<>();
		List<SlopePoint> takeoverWrites = new ArrayList<>();
		List<SlopePoint> takeoverBytes = new ArrayList<>();
		for (int rate : this.startsPerSecond) {
			Run run = new Run(new MemoryStore(), 1, bytesPerStart, snapshot);
			run.run(rate, this.seconds);
			writes.add(new SlopePoint(rate, (double) run.store.writes() / this.seconds));
			writtenBytes.add(new SlopePoint(rate, (double) run.store.writtenBytes() / this.seconds));
			MemoryStore store = run.store;
			long reads = store.reads();
			long writesBefore = store.writes();
			long bytesBefore = store.readBytes();
			new Run(store, 2, bytesPerStart, snapshot).recover();
			takeoverReads.add(new SlopePoint(rate, store.reads() - reads));
			takeoverWrites.add(new SlopePoint(rate, store.writes() - writesBefore));
			takeoverBytes.add(new SlopePoint(rate, store.readBytes() - bytesBefore));
		}
		List<SlopePoint> perThousand = writes.stream()
			.map((point) -> new SlopePoint(point.size(), point.value() * 1_000 / point.size()))
			.toList();
		return List.of(entryBytes, Slope.of("log-writes", "store writes/s", "starts/s of the shard", writes),
				Slope.of("log-writes-per-1000-starts", "store writes per 1,000 starts", "starts/s of the shard",
						perThousand),
				Slope.of("log-written-bytes", "bytes/s", "starts/s of the shard", writtenBytes),
				Slope.of("takeover-reads", "store reads per takeover of a log", "starts/s of the shard", takeoverReads),
				Slope.of("takeover-writes", "store writes per takeover of a log", "starts/s of the shard",
						takeoverWrites),
				Slope.of("takeover-bytes", "bytes read per takeover of a log", "starts/s of the shard", takeoverBytes));
	}

	/**
	 * Is one log with its store.
	 */
	private static final class Run {

		private final MemoryStore store;

		private final Deque<Due> due = new ArrayDeque<>();

		private final byte[] entry;

		private final byte[] snapshot;

		private final ShardLog log;

		private MonotonicTime now = MonotonicTime.ofMillis(0);

		private boolean recovered;

		private long committed;

		private long appended;

		Run(MemoryStore store, long epoch, int bytesPerStart, byte[] snapshot) {
			this.store = store;
			this.snapshot = snapshot;
			this.entry = new byte[bytesPerStart];
			this.log = new ShardLog(ShardLogSettings.defaults(), TaskShardRun.SHARD, new Epoch(epoch), this.now);
		}

		void recover() {
			for (long millis = 0; !this.recovered; millis += STEP_MILLIS) {
				advance(millis);
			}
		}

		private void advance(long millis) {
			this.now = MonotonicTime.ofMillis(millis);
			while (!this.due.isEmpty() && !this.now.isBefore(this.due.peek().at())) {
				complete(this.due.remove().action());
			}
			take(this.log.tick(this.now));
		}

		void run(int startsPerSecond, int seconds) {
			for (long millis = 0; millis < seconds * 1_000L; millis += STEP_MILLIS) {
				advance(millis);
				long wanted = startsPerSecond * (millis + STEP_MILLIS) / 1_000;
				// The recovery takes the first instants.
				while (millis >= 1_000 && this.appended < wanted) {
					take(this.log.append(this.now, List.of(this.entry), this.appended++));
				}
			}
			if (this.committed < startsPerSecond * (seconds - 2L)) {
				throw new IllegalStateException("the log fell behind: " + this.committed + " entries committed");
			}
		}

		private void take(List<LogAction> actions) {
			for (LogAction action : actions) {
				if (action instanceof LogAction.Committed done) {
					this.committed += done.tokens().size();
				}
				else if (action instanceof LogAction.Recovered) {
					this.recovered = true;
				}
				else if (action instanceof LogAction.SnapshotNeeded needed) {
					take(this.log.writeSnapshot(this.now, needed.sequence(), this.snapshot));
				}
				else if (action instanceof LogAction.Write || action instanceof LogAction.Read
						|| action instanceof LogAction.ListKeys) {
					this.due.add(new Due(this.now.plusMillis(STORE_MILLIS), action));
				}
				else if (action instanceof LogAction.Refused refused) {
					throw new IllegalStateException("the log refused an append: " + refused.reason());
				}
			}
		}

		private void complete(LogAction action) {
			if (action instanceof LogAction.Write write) {
				StoreWrite value = write.write();
				take(this.log.completed(this.now, write.id(), this.store.write(value)));
			}
			else if (action instanceof LogAction.Read read) {
				take(this.log.completed(this.now, read.id(), this.store.read(read.key())));
			}
			else if (action instanceof LogAction.ListKeys list) {
				take(this.log.completed(this.now, list.id(), this.store.list(list.prefix())));
			}
		}

	}

	private record Due(MonotonicTime at, LogAction action) {
	}

}
