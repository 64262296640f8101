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
 * The I/O driver that performs the actions of one shard log against the store. All
 * methods must be called on the serial executor of the shard.
 */
public final class LogDriver implements AutoCloseable {

	/**
	 * Maximum size of one append, in bytes; the entries of a larger step are split. The
	 * limit leaves room for the encoding within the maximum commit size.
	 */
	public static final int MAX_APPEND_BYTES = 200_000;

	/**
	 * Age of an entry that is not durable, in milliseconds, from which new work is
	 * refused. The store replies within milliseconds; when the write rate limit is
	 * reached, commits are some hundred milliseconds apart.
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
	 * Appends that the log refused because its queue was full, in order. They record
	 * events that have already happened, so they are retried and not dropped. Their
	 * number is bounded by the tasks and requests in progress, because no new work is
	 * accepted while there is any.
	 */
	private final Deque<Append> deferred = new ArrayDeque<>();

	private final Deque<PendingSnapshot> snapshots = new ArrayDeque<>();

	private long lastToken;

	private boolean closed;

	/**
	 * Creates a driver.
	 * @param log the state machine of the log
	 * @param store the client of the store
	 * @param listener receives the events of the log
	 * @param clock the monotonic clock
	 * @param serial the serial executor of the shard
	 * @param timers schedules the next tick
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
	 * Performs the log actions that are due. The first call starts the recovery.
	 */
	public void tick() {
		perform(() -> this.log.tick(this.clock.now()));
	}

	/**
	 * Appends entries to the log. If the log refuses them, they are deferred and retried.
	 * @param entries the entries of one step
	 * @param onCommitted runs on the serial executor when the entries are durable
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
	 * Appends entries to the log unless new work is refused or the log rejects the
	 * append, for example because its queue is full.
	 * @param entries the entries of one step
	 * @param onCommitted runs on the serial executor when the entries are durable
	 * @param onRejected runs if the entries were not written and never will be
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
	 * Returns whether new work may be accepted: the log is open, no append is deferred
	 * and the store is not slow.
	 * @return {@code true} if new work may be accepted
	 */
	public boolean acceptsNewWork() {
		return !this.closed && this.log.isOpen() && this.deferred.isEmpty() && !isStoreSlow();
	}

	// New work is refused while an earlier entry waits for a slow store, because its
	// caller would wait as long.
	private boolean isStoreSlow() {
		Iterator<Append> oldest = this.inFlight.values().iterator();
		return oldest.hasNext() && oldest.next().appendedAt().plusMillis(SLOW_STORE_MILLIS).isBefore(this.clock.now());
	}

	/**
	 * Returns whether all appended entries are durable.
	 * @return {@code true} if no append or store call is outstanding
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
			throw new IllegalStateException("an append exceeds the maximum commit size");
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
				// Refused again: put it back at the head to preserve the order.
				this.deferred.addFirst(this.deferred.removeLast());
				return;
			}
		}
	}

	// A snapshot includes the effect of entries that are not durable yet, so it is
	// written only after them. Entries between its sequence number and these are replayed
	// on top of it, which the recovery of every state machine tolerates.
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
