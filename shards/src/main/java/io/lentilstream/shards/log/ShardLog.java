package io.lentilstream.shards.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.ShardId;
import io.lentilstream.shards.RetryingWrite;

/**
 * The write-ahead log of one shard under one epoch. Queued appends are written together
 * as one record (group commit), and one commit is in flight at a time. A record is
 * written to the next slot of a ring by compare-and-swap, so the marker of a later owner
 * fences this log. An instance first recovers the log; appends are refused until
 * {@link LogAction.Recovered}. All methods are thread-safe and do not block.
 */
public final class ShardLog {

	/**
	 * Minimum number of entry bytes between two snapshots, so that small shards do not
	 * write snapshots too often.
	 */
	private static final long MIN_BYTES_BETWEEN_SNAPSHOTS = 1024 * 1024;

	/**
	 * A snapshot is requested once this many times the size of the last one was logged,
	 * so that snapshots add at most a quarter to the bytes written.
	 */
	private static final long BYTES_BETWEEN_SNAPSHOTS_FACTOR = 4;

	private final Object lock = new Object();

	private final ShardLogSettings settings;

	private final LogKeys keys;

	private final Epoch epoch;

	private final WriteRateLimiter rateLimiter;

	private final Deque<Append> queue = new ArrayDeque<>();

	private final Map<Long, CallKind> calls = new HashMap<>();

	private final List<Map<Integer, Long>> chunkVersions = List.of(new HashMap<>(), new HashMap<>());

	private State state = State.RECOVERING;

	private LogRecovery recovery;

	private long[] slotVersions;

	private long lastSequence;

	private SnapshotHead head;

	private long headVersion;

	private long bytesSinceSnapshot;

	private boolean snapshotRequested;

	private SnapshotWriter snapshotWriter;

	private RetryingWrite commit;

	private List<Append> committing = List.of();

	private long queuedBytes;

	private long nextId = 1;

	/**
	 * Creates the log of a shard that this process has just acquired.
	 * @param settings the limits; the number of slots must be the same for all owners of
	 * the shard
	 * @param shard the shard
	 * @param epoch the epoch of this owner; an epoch may recover the log only once
	 * @param now the current time
	 */
	public ShardLog(ShardLogSettings settings, ShardId shard, Epoch epoch, MonotonicTime now) {
		this.settings = settings;
		this.keys = new LogKeys(shard);
		this.epoch = epoch;
		this.rateLimiter = new WriteRateLimiter(settings, now);
		this.recovery = new LogRecovery(settings, this.keys, epoch, now);
	}

	/**
	 * Queues entries, which are written in one record and after those of earlier appends.
	 * @param now the current time
	 * @param entries the entries; the caller must not modify the arrays
	 * @param token identifies the append in {@link LogAction.Committed},
	 * {@link LogAction.Refused} and {@link LogAction.Fenced}
	 * @return the actions
	 */
	public List<LogAction> append(MonotonicTime now, List<byte[]> entries, long token) {
		synchronized (this.lock) {
			List<LogAction> actions = new ArrayList<>();
			int bytes = 0;
			for (byte[] entry : entries) {
				bytes += entry.length + ShardLogSettings.ENTRY_OVERHEAD_BYTES;
			}
			if (this.state != State.OPEN) {
				actions.add(new LogAction.Refused(token, LogAction.RefusalReason.NOT_OPEN));
			}
			else if (bytes > this.settings.maxCommitBytes()) {
				actions.add(new LogAction.Refused(token, LogAction.RefusalReason.TOO_LARGE));
			}
			else if (this.queuedBytes + bytes > this.settings.maxQueuedBytes()) {
				actions.add(new LogAction.Refused(token, LogAction.RefusalReason.QUEUE_FULL));
			}
			else {
				this.queue.add(new Append(List.copyOf(entries), token, bytes));
				this.queuedBytes += bytes;
			}
			return advance(now, actions);
		}
	}

	/**
	 * Starts the store calls that are due. The first call starts the recovery.
	 * @param now the current time
	 * @return the actions
	 */
	public List<LogAction> tick(MonotonicTime now) {
		synchronized (this.lock) {
			return advance(now, new ArrayList<>());
		}
	}

	/**
	 * Returns when {@link #tick} must be called next if nothing else happens.
	 * @return the time, or empty if the log only waits for outcomes
	 */
	public Optional<MonotonicTime> nextWakeUp() {
		synchronized (this.lock) {
			if (this.state == State.RECOVERING) {
				return this.recovery.dueAt();
			}
			if (this.state == State.CLOSED) {
				return Optional.empty();
			}
			Optional<MonotonicTime> commitAt = Optional.empty();
			if (this.commit != null) {
				commitAt = this.commit.dueAt();
			}
			else if (!this.queue.isEmpty() && hasFreeSlot()) {
				commitAt = Optional.of(this.rateLimiter.nextCommitAt());
			}
			return Stream.of(commitAt, Optional.ofNullable(this.snapshotWriter).flatMap(SnapshotWriter::dueAt))
				.flatMap(Optional::stream)
				.min(Comparator.naturalOrder());
		}
	}

	/**
	 * Starts to write the snapshot that {@link LogAction.SnapshotNeeded} requested. It
	 * must include the effect of all entries committed up to the sequence number, and of
	 * no entry that is not committed. A snapshot that was not requested is ignored.
	 * @param now the current time
	 * @param sequence the sequence number of the last {@link LogAction.Committed} that
	 * the snapshot covers, or the one of the request
	 * @param bytes the snapshot
	 * @return the actions
	 */
	public List<LogAction> writeSnapshot(MonotonicTime now, long sequence, byte[] bytes) {
		synchronized (this.lock) {
			boolean accepted = this.state == State.OPEN && this.snapshotRequested && this.snapshotWriter == null;
			if (accepted && sequence > this.head.sequence() && sequence <= this.lastSequence) {
				int generation = LogKeys.otherGeneration(this.head.generation());
				SnapshotHead newHead = SnapshotWriter.newHead(this.settings, this.epoch, sequence, generation, bytes);
				this.bytesSinceSnapshot = 0;
				this.snapshotWriter = new SnapshotWriter(now, this.settings, this.keys, newHead, bytes,
						this.chunkVersions.get(generation), this.headVersion);
			}
			return advance(now, new ArrayList<>());
		}
	}

	/**
	 * Processes the outcome of a write.
	 * @param now the current time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<LogAction> completed(MonotonicTime now, long id, WriteOutcome outcome) {
		synchronized (this.lock) {
			List<LogAction> actions = new ArrayList<>();
			CallKind kind = this.calls.remove(id);
			if (kind == CallKind.RECOVERY && this.state == State.RECOVERING) {
				this.recovery.completed(now, outcome);
			}
			else if (kind == CallKind.COMMIT && this.state == State.OPEN) {
				commitWriteCompleted(this.commit.completed(now, outcome), actions);
			}
			else if (kind == CallKind.SNAPSHOT && this.state == State.OPEN) {
				snapshotWriteCompleted(this.snapshotWriter.completed(now, outcome), actions);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Processes the outcome of a read.
	 * @param now the current time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<LogAction> completed(MonotonicTime now, long id, ReadOutcome outcome) {
		synchronized (this.lock) {
			List<LogAction> actions = new ArrayList<>();
			CallKind kind = this.calls.remove(id);
			if (kind == CallKind.RECOVERY && this.state == State.RECOVERING) {
				this.recovery.completed(now, outcome);
			}
			else if (kind == CallKind.COMMIT && this.state == State.OPEN) {
				commitWriteCompleted(this.commit.completed(now, outcome), actions);
			}
			else if (kind == CallKind.SNAPSHOT && this.state == State.OPEN) {
				snapshotWriteCompleted(this.snapshotWriter.completed(now, outcome), actions);
			}
			return advance(now, actions);
		}
	}

	/**
	 * Processes the outcome of a list.
	 * @param now the current time
	 * @param id the action id
	 * @param outcome the outcome
	 * @return the actions
	 */
	public List<LogAction> completed(MonotonicTime now, long id, ListOutcome outcome) {
		synchronized (this.lock) {
			if (this.calls.remove(id) == CallKind.RECOVERY && this.state == State.RECOVERING) {
				this.recovery.completed(now, outcome);
			}
			return advance(now, new ArrayList<>());
		}
	}

	/**
	 * Returns whether no append is queued or being written, which a release of the shard
	 * requires. A log that is still recovering is not idle.
	 * @return whether the log is idle
	 */
	public boolean isIdle() {
		synchronized (this.lock) {
			return this.state != State.RECOVERING && this.queue.isEmpty() && this.commit == null;
		}
	}

	/**
	 * Returns whether appends are accepted.
	 * @return whether the log is recovered and neither fenced nor failed
	 */
	public boolean isOpen() {
		synchronized (this.lock) {
			return this.state == State.OPEN;
		}
	}

	/**
	 * Returns the number of entry bytes that are queued or being written.
	 * @return the bytes, including the encoding overhead of each entry
	 */
	public long queuedBytes() {
		synchronized (this.lock) {
			return this.queuedBytes;
		}
	}

	static LogAction toAction(long id, RetryingWrite.Call call) {
		if (call instanceof RetryingWrite.Call.Write write) {
			return new LogAction.Write(id, write.write());
		}
		return new LogAction.Read(id, ((RetryingWrite.Call.Read) call).key());
	}

	private List<LogAction> advance(MonotonicTime now, List<LogAction> actions) {
		if (this.state == State.RECOVERING) {
			if (this.recovery.isFinished()) {
				finishRecovery(actions);
			}
			else {
				this.recovery.nextCall(now, this.nextId).ifPresent((action) -> {
					this.calls.put(this.nextId++, CallKind.RECOVERY);
					if (action instanceof LogAction.Write) {
						this.rateLimiter.recordWrite(now);
					}
					actions.add(action);
				});
			}
		}
		if (this.state != State.OPEN) {
			return actions;
		}
		startCommit(now);
		if (this.commit != null) {
			send(now, CallKind.COMMIT, this.commit.nextCall(now), actions);
		}
		if (this.snapshotWriter != null) {
			send(now, CallKind.SNAPSHOT, this.snapshotWriter.nextCall(now), actions);
		}
		requestSnapshot(actions);
		return actions;
	}

	private void send(MonotonicTime now, CallKind kind, Optional<RetryingWrite.Call> call, List<LogAction> actions) {
		if (call.isEmpty()) {
			return;
		}
		long id = this.nextId++;
		this.calls.put(id, kind);
		if (call.get() instanceof RetryingWrite.Call.Write) {
			this.rateLimiter.recordWrite(now);
		}
		actions.add(toAction(id, call.get()));
	}

	private void finishRecovery(List<LogAction> actions) {
		if (this.recovery.isFenced()) {
			this.state = State.CLOSED;
			actions.add(new LogAction.Fenced(List.of(), List.of()));
			return;
		}
		if (this.recovery.failure().isPresent()) {
			this.state = State.CLOSED;
			actions.add(new LogAction.Failed(this.recovery.failure().get()));
			return;
		}
		this.state = State.OPEN;
		this.slotVersions = this.recovery.slotVersions();
		this.lastSequence = this.recovery.lastSequence();
		this.head = this.recovery.head();
		this.headVersion = this.recovery.headVersion();
		this.chunkVersions.get(this.head.generation()).putAll(this.recovery.chunkVersions());
		List<byte[]> entries = this.recovery.entries();
		entries.forEach((entry) -> this.bytesSinceSnapshot += entry.length);
		actions.add(new LogAction.Recovered(this.recovery.snapshot(), entries));
		this.recovery = null;
	}

	private void startCommit(MonotonicTime now) {
		boolean due = !now.isBefore(this.rateLimiter.nextCommitAt());
		if (this.commit != null || this.queue.isEmpty() || !due || !hasFreeSlot()) {
			return;
		}
		List<Append> appends = new ArrayList<>();
		List<byte[]> entries = new ArrayList<>();
		int bytes = 0;
		while (!this.queue.isEmpty() && bytes + this.queue.peek().bytes() <= this.settings.maxCommitBytes()) {
			Append append = this.queue.remove();
			bytes += append.bytes();
			appends.add(append);
			entries.addAll(append.entries());
		}
		long sequence = this.lastSequence + 1;
		int slot = (int) (sequence % this.settings.slots());
		this.committing = appends;
		this.commit = new RetryingWrite(now, this.keys.slot(slot),
				new LogRecord(this.epoch, sequence, false, entries).encode(), this.slotVersions[slot], Optional.empty(),
				this.settings.retryInterval());
		this.rateLimiter.recordCommit(now);
	}

	/**
	 * Returns whether the next record may overwrite its slot: a snapshot covers the
	 * record in it, and the slots reserved for markers stay free.
	 * @return whether a commit may start
	 */
	private boolean hasFreeSlot() {
		return this.lastSequence + 1 - this.head.sequence() <= this.settings.slots() - this.settings.reservedSlots();
	}

	private void commitWriteCompleted(RetryingWrite.Result result, List<LogAction> actions) {
		if (result instanceof RetryingWrite.Result.Pending) {
			return;
		}
		if (result instanceof RetryingWrite.Result.Superseded) {
			close(actions);
			return;
		}
		this.lastSequence++;
		this.slotVersions[(int) (this.lastSequence % this.settings.slots())] = ((RetryingWrite.Result.Applied) result)
			.version();
		for (Append append : this.committing) {
			this.queuedBytes -= append.bytes();
			this.bytesSinceSnapshot += append.bytes();
		}
		actions.add(new LogAction.Committed(this.lastSequence, tokens(this.committing)));
		this.commit = null;
		this.committing = List.of();
	}

	private void snapshotWriteCompleted(SnapshotWriter.State result, List<LogAction> actions) {
		switch (result) {
			case RUNNING -> {
				return;
			}
			case FENCED -> close(actions);
			case FAILED -> {
				actions.add(new LogAction.Failed(this.snapshotWriter.failure()));
				close(actions);
			}
			case DONE -> {
				this.head = this.snapshotWriter.head();
				this.headVersion = this.snapshotWriter.newHeadVersion();
				this.snapshotRequested = false;
			}
		}
		this.snapshotWriter = null;
	}

	private void requestSnapshot(List<LogAction> actions) {
		if (this.snapshotRequested) {
			return;
		}
		long recordsSinceSnapshot = this.lastSequence - this.head.sequence();
		long usableSlots = this.settings.slots() - this.settings.reservedSlots();
		long bytesBetweenSnapshots = Math.max(MIN_BYTES_BETWEEN_SNAPSHOTS,
				BYTES_BETWEEN_SNAPSHOTS_FACTOR * this.head.length());
		if (recordsSinceSnapshot * 4 >= usableSlots * 3 || this.bytesSinceSnapshot >= bytesBetweenSnapshots) {
			this.snapshotRequested = true;
			actions.add(new LogAction.SnapshotNeeded(this.lastSequence));
		}
	}

	private void close(List<LogAction> actions) {
		this.state = State.CLOSED;
		actions.add(new LogAction.Fenced(tokens(this.committing), tokens(this.queue)));
		this.commit = null;
		this.committing = List.of();
		this.queue.clear();
		this.queuedBytes = 0;
	}

	private static List<Long> tokens(Iterable<Append> appends) {
		List<Long> tokens = new ArrayList<>();
		appends.forEach((append) -> tokens.add(append.token()));
		return tokens;
	}

	private record Append(List<byte[]> entries, long token, int bytes) {
	}

	private enum State {

		RECOVERING, OPEN, CLOSED

	}

	private enum CallKind {

		RECOVERY, COMMIT, SNAPSHOT

	}

}
