package io.lentilstream.entry.shards;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import io.lentilstream.clients.StoreClient;
import io.lentilstream.entry.timer.WakeUpTimer;
import io.lentilstream.model.MonotonicClock;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.shards.log.LogAction;
import io.lentilstream.shards.log.ShardLog;

/**
 * Carries out the actions of one shard log against the store. All methods run on the
 * serial executor of the shard.
 */
public final class LogDriver implements AutoCloseable {

	/**
	 * Entries of one step are split into appends of this many bytes, which leaves room
	 * for the encoding within the largest commit.
	 */
	public static final int MAX_APPEND_BYTES = 200_000;

	/**
	 * Age of an entry that is not durable from which new work is refused. The store
	 * answers in milliseconds; with its writes budget used up, commits are some hundred
	 * milliseconds apart.
	 */
	private static final long SLOW_STORE_MILLIS = 1_000;

	private static final Runnable NO_ACTION = () -> {
	};

	private final ShardLog log;

	private final StoreClient store;

	private final LogListener listener;

	private final MonotonicClock clock;

	private final Executor serial;

	private final WakeUpTimer timer;

	private final Map<Long, Append> inFlight = new LinkedHashMap<>();

	/**
	 * Appends that the log refused because its queue was full, in order. They describe
	 * what already happened, so they wait instead of being dropped. Their number is
	 * bounded by the tasks and requests in progress, since nothing new is accepted while
	 * any waits.
	 */
	private final Deque<Append> deferred = new ArrayDeque<>();

	private final Deque<PendingSnapshot> snapshots = new ArrayDeque<>();

	private long lastToken;

	private boolean closed;

	/**
	 * Creates a driver.
	 * @param log decides
	 * @param store carries out store calls
	 * @param listener is told about the log
	 * @param clock tells the time
	 * @param serial the serial executor of the shard
	 * @param timers schedules the next step
	 */
	public LogDriver(ShardLog log, StoreClient store, LogListener listener, MonotonicClock clock, Executor serial,
			ScheduledExecutorService timers) {
		this.log = log;
		this.store = store;
		this.listener = listener;
		this.clock = clock;
		this.serial = serial;
		this.timer = new WakeUpTimer(timers, clock, () -> serial.execute(this::tick));
	}

	/**
	 * Does what is due; the first call starts the recovery.
	 */
	public void tick() {
		perform(() -> this.log.tick(this.clock.now()));
	}

	/**
	 * Makes entries durable.
	 * @param entries the entries of one step
	 * @param onCommitted runs once they are durable, on the serial executor
	 */
	public void append(List<byte[]> entries, Runnable onCommitted) {
		int from = 0;
		int bytes = 0;
		for (int i = 0; i < entries.size(); i++) {
			int size = entries.get(i).length;
			if (i > from && bytes + size > MAX_APPEND_BYTES) {
				appendPart(entries.subList(from, i), NO_ACTION);
				from = i;
				bytes = 0;
			}
			bytes += size;
		}
		appendPart(entries.subList(from, entries.size()), onCommitted);
	}

	private void appendPart(List<byte[]> entries, Runnable onCommitted) {
		this.lastToken++;
		Append append = new Append(this.lastToken, List.copyOf(entries), onCommitted, null, this.clock.now());
		if (!this.deferred.isEmpty()) {
			this.deferred.add(append);
			return;
		}
		submit(append);
	}

	/**
	 * Makes entries durable unless the queue of the log is full.
	 * @param entries the entries of one step
	 * @param onCommitted runs once they are durable, on the serial executor
	 * @param onRejected runs if they were not and will not be written
	 */
	public void tryAppend(List<byte[]> entries, Runnable onCommitted, Runnable onRejected) {
		if (!acceptsNewWork()) {
			onRejected.run();
			return;
		}
		this.lastToken++;
		submit(new Append(this.lastToken, entries, onCommitted, onRejected, this.clock.now()));
	}

	/**
	 * Tells whether new work may be accepted: the log is open and nothing waits for it.
	 * @return {@code true} if new work may be accepted
	 */
	public boolean acceptsNewWork() {
		return !this.closed && this.log.isOpen() && this.deferred.isEmpty() && !isStoreSlow();
	}

	// New work is refused while an earlier entry waits for the store, since its caller
	// would wait as long.
	private boolean isStoreSlow() {
		Iterator<Append> oldest = this.inFlight.values().iterator();
		return oldest.hasNext() && oldest.next().appendedAt().plusMillis(SLOW_STORE_MILLIS).isBefore(this.clock.now());
	}

	/**
	 * Tells whether all appended entries are durable.
	 * @return {@code true} if nothing waits
	 */
	public boolean isIdle() {
		return this.log.isIdle() && this.deferred.isEmpty() && this.inFlight.isEmpty();
	}

	private void submit(Append append) {
		this.inFlight.put(append.token(), append);
		perform(() -> this.log.append(this.clock.now(), append.entries(), append.token()));
	}

	private void perform(Supplier<List<LogAction>> input) {
		if (this.closed) {
			return;
		}
		for (LogAction action : input.get()) {
			perform(action);
		}
		this.timer.scheduleAt(this.log.nextWakeUp());
	}

	private void perform(LogAction action) {
		if (action instanceof LogAction.Write write) {
			this.store.write(write.write())
				.thenAccept(
						(outcome) -> performOnSerial(() -> this.log.completed(this.clock.now(), write.id(), outcome)));
		}
		else if (action instanceof LogAction.Read read) {
			this.store.read(read.key())
				.thenAccept(
						(outcome) -> performOnSerial(() -> this.log.completed(this.clock.now(), read.id(), outcome)));
		}
		else if (action instanceof LogAction.ListKeys list) {
			this.store.list(list.prefix())
				.thenAccept(
						(outcome) -> performOnSerial(() -> this.log.completed(this.clock.now(), list.id(), outcome)));
		}
		else if (action instanceof LogAction.Committed committed) {
			committed.tokens().forEach(this::committed);
			retryDeferred();
		}
		else if (action instanceof LogAction.Refused refused) {
			refused(refused);
		}
		else if (action instanceof LogAction.SnapshotNeeded needed) {
			this.snapshots.add(new PendingSnapshot(needed.sequence(), this.lastToken, this.listener.snapshot()));
			writeSnapshots();
		}
		else if (action instanceof LogAction.Recovered recovered) {
			this.listener.recovered(recovered.snapshot(), recovered.entries());
		}
		else if (action instanceof LogAction.Fenced) {
			close();
			this.listener.fenced();
		}
		else if (action instanceof LogAction.Failed failed) {
			close();
			this.listener.failed(failed.reason());
		}
	}

	private void performOnSerial(Supplier<List<LogAction>> input) {
		this.serial.execute(() -> perform(input));
	}

	private void committed(long token) {
		Append append = this.inFlight.remove(token);
		append.onCommitted().run();
		writeSnapshots();
	}

	private void refused(LogAction.Refused refused) {
		Append append = this.inFlight.remove(refused.token());
		if (append.onRejected() != null) {
			append.onRejected().run();
			return;
		}
		if (refused.reason() == LogAction.RefusalReason.TOO_LARGE) {
			throw new IllegalStateException("a step is larger than a commit");
		}
		this.deferred.add(append);
	}

	private void retryDeferred() {
		int attempts = this.deferred.size();
		for (int i = 0; i < attempts && !this.closed; i++) {
			Append append = this.deferred.poll();
			int sizeBefore = this.deferred.size();
			submit(append);
			if (this.deferred.size() > sizeBefore) {
				// Refused again: put it back in front, so that the order stays.
				this.deferred.addFirst(this.deferred.removeLast());
				return;
			}
		}
	}

	// A snapshot holds the effect of entries that are still queued, so it waits for them.
	// Entries between its sequence number and these are replayed on top, which the
	// recovery of every state machine tolerates.
	private void writeSnapshots() {
		while (!this.snapshots.isEmpty() && isDurable(this.snapshots.peek().lastToken())) {
			PendingSnapshot snapshot = this.snapshots.poll();
			perform(() -> this.log.writeSnapshot(this.clock.now(), snapshot.sequence(), snapshot.bytes()));
		}
	}

	private boolean isDurable(long token) {
		if (!this.deferred.isEmpty() && this.deferred.peek().token() <= token) {
			return false;
		}
		for (long inFlightToken : this.inFlight.keySet()) {
			if (inFlightToken <= token) {
				return false;
			}
		}
		return true;
	}

	@Override
	public void close() {
		this.closed = true;
		this.timer.close();
	}

	private record Append(long token, List<byte[]> entries, Runnable onCommitted, Runnable onRejected,
			MonotonicTime appendedAt) {
	}

	private record PendingSnapshot(long sequence, long lastToken, byte[] bytes) {
	}

}
