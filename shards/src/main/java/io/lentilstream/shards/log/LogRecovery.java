package io.lentilstream.shards.log;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32C;

import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.shards.RecordFormatException;
import io.lentilstream.shards.RetryingWrite;

/**
 * Recovers a log at a takeover: lists the ring, appends the marker of the new epoch,
 * rewrites the snapshot head with this epoch and reads the snapshot. Once the marker is
 * written, all appends of earlier owners fail. Once the head is rewritten, all snapshots
 * of earlier owners fail, so the chunks do not change while they are read. One store call
 * is in flight at a time.
 */
final class LogRecovery {

	private final ShardLogSettings settings;

	private final LogKeys keys;

	private final Epoch epoch;

	private final long[] slotVersions;

	private final Map<Long, LogRecord> records = new HashMap<>();

	private final Map<Integer, Long> chunkVersions = new HashMap<>();

	private Step step = Step.LIST_SLOTS;

	private MonotonicTime due;

	private boolean inFlight;

	private RetryingWrite write;

	private long lastSequence;

	private SnapshotHead head = SnapshotHead.NONE;

	private long headVersion = StoreWrite.ABSENT;

	private Optional<byte[]> snapshot = Optional.empty();

	private String failure;

	LogRecovery(ShardLogSettings settings, LogKeys keys, Epoch epoch, MonotonicTime now) {
		this.settings = settings;
		this.keys = keys;
		this.epoch = epoch;
		this.slotVersions = new long[settings.slots()];
		this.due = now;
	}

	Optional<LogAction> nextCall(MonotonicTime now, long id) {
		if (this.write != null) {
			return this.write.nextCall(now).map((call) -> ShardLog.toAction(id, call));
		}
		if (this.inFlight || now.isBefore(this.due)) {
			return Optional.empty();
		}
		Optional<LogAction> action = switch (this.step) {
			case LIST_SLOTS -> Optional.of(new LogAction.ListKeys(id, this.keys.slotPrefix()));
			case READ_HEAD -> Optional.of(new LogAction.Read(id, this.keys.snapshotHead()));
			case LIST_CHUNKS -> Optional.of(new LogAction.ListKeys(id, this.keys.chunkPrefix(this.head.generation())));
			default -> Optional.empty();
		};
		this.inFlight = action.isPresent();
		return action;
	}

	Optional<MonotonicTime> dueAt() {
		if (this.write != null) {
			return this.write.dueAt();
		}
		return (this.inFlight || isFinished()) ? Optional.empty() : Optional.of(this.due);
	}

	void completed(MonotonicTime now, ListOutcome outcome) {
		this.inFlight = false;
		if (!(outcome instanceof ListOutcome.Listed listed)) {
			this.due = now.plus(this.settings.retryInterval());
			return;
		}
		try {
			if (this.step == Step.LIST_SLOTS) {
				slotsListed(listed.values());
			}
			else if (this.step == Step.LIST_CHUNKS) {
				chunksListed(listed.values());
			}
		}
		catch (RecordFormatException ex) {
			fail(ex.getMessage());
		}
	}

	void completed(MonotonicTime now, ReadOutcome outcome) {
		if (this.write != null) {
			writeCompleted(now, this.write.completed(now, outcome));
			return;
		}
		this.inFlight = false;
		if (!(outcome instanceof ReadOutcome.Read read)) {
			this.due = now.plus(this.settings.retryInterval());
			return;
		}
		try {
			setHead(read.value());
			if (!isFinished()) {
				startMarkerWrite(now);
			}
		}
		catch (RecordFormatException ex) {
			fail(ex.getMessage());
		}
	}

	void completed(MonotonicTime now, WriteOutcome outcome) {
		writeCompleted(now, this.write.completed(now, outcome));
	}

	boolean isFinished() {
		return this.step == Step.DONE || this.step == Step.FENCED || this.step == Step.FAILED;
	}

	boolean isFenced() {
		return this.step == Step.FENCED;
	}

	Optional<String> failure() {
		return Optional.ofNullable(this.failure);
	}

	Optional<byte[]> snapshot() {
		return this.snapshot;
	}

	List<byte[]> entries() {
		List<byte[]> entries = new ArrayList<>();
		for (long sequence = this.head.sequence() + 1; sequence <= this.lastSequence; sequence++) {
			entries.addAll(this.records.get(sequence).entries());
		}
		return entries;
	}

	long lastSequence() {
		return this.lastSequence;
	}

	SnapshotHead head() {
		return this.head;
	}

	long headVersion() {
		return this.headVersion;
	}

	long[] slotVersions() {
		return this.slotVersions;
	}

	Map<Integer, Long> chunkVersions() {
		return this.chunkVersions;
	}

	private void slotsListed(List<StoredValue> values) throws RecordFormatException {
		for (StoredValue value : values) {
			LogRecord record = LogRecord.decode(value.value());
			int slot = slotOf(record.sequence());
			if (!this.keys.slot(slot).equals(value.key())) {
				throw new RecordFormatException("log record " + record.sequence() + " is in " + value.key()
						+ ", expected in slot " + slot + " of " + this.settings.slots());
			}
			addRecord(record, value.version());
			this.lastSequence = Math.max(this.lastSequence, record.sequence());
		}
		if (this.step != Step.FENCED) {
			this.step = Step.READ_HEAD;
		}
	}

	private void addRecord(LogRecord record, long version) throws RecordFormatException {
		this.slotVersions[slotOf(record.sequence())] = version;
		this.records.put(record.sequence(), record);
		if (record.epoch().compareTo(this.epoch) > 0) {
			this.step = Step.FENCED;
		}
		else if (record.epoch().equals(this.epoch)) {
			throw new RecordFormatException("log has records of epoch " + this.epoch + " before its recovery");
		}
	}

	private void setHead(Optional<StoredValue> value) throws RecordFormatException {
		if (value.isEmpty()) {
			this.head = SnapshotHead.NONE;
			this.headVersion = StoreWrite.ABSENT;
			return;
		}
		this.head = SnapshotHead.decode(value.get().value());
		this.headVersion = value.get().version();
		if (this.head.epoch().compareTo(this.epoch) > 0) {
			this.step = Step.FENCED;
		}
	}

	private void startMarkerWrite(MonotonicTime now) {
		long sequence = this.lastSequence + 1;
		int slot = slotOf(sequence);
		long overwrittenSequence = sequence - this.settings.slots();
		if (overwrittenSequence > this.head.sequence()) {
			fail("ring is full: record " + overwrittenSequence + " is not covered by a snapshot");
			return;
		}
		this.step = Step.WRITE_MARKER;
		byte[] marker = new LogRecord(this.epoch, sequence, true, List.of()).encode();
		this.write = new RetryingWrite(now, this.keys.slot(slot), marker, this.slotVersions[slot], Optional.empty(),
				this.settings.retryInterval());
	}

	private void startHeadClaim(MonotonicTime now) {
		this.step = Step.CLAIM_HEAD;
		this.write = new RetryingWrite(now, this.keys.snapshotHead(), this.head.claimedBy(this.epoch).encode(),
				this.headVersion, Optional.empty(), this.settings.retryInterval());
	}

	private void writeCompleted(MonotonicTime now, RetryingWrite.Result result) {
		if (result instanceof RetryingWrite.Result.Pending) {
			return;
		}
		this.write = null;
		try {
			if (this.step == Step.WRITE_MARKER) {
				markerWriteCompleted(now, result);
			}
			else {
				headClaimCompleted(now, result);
			}
		}
		catch (RecordFormatException ex) {
			fail(ex.getMessage());
		}
	}

	private void markerWriteCompleted(MonotonicTime now, RetryingWrite.Result result) throws RecordFormatException {
		if (result instanceof RetryingWrite.Result.Applied applied) {
			this.lastSequence++;
			this.slotVersions[slotOf(this.lastSequence)] = applied.version();
			this.records.put(this.lastSequence, new LogRecord(this.epoch, this.lastSequence, true, List.of()));
			startHeadClaim(now);
			return;
		}
		Optional<StoredValue> current = ((RetryingWrite.Result.Superseded) result).current();
		if (current.isEmpty()) {
			throw new RecordFormatException("slot of record " + (this.lastSequence + 1) + " was deleted");
		}
		// An earlier owner appended a record after the slots were listed; it is part of
		// the log.
		LogRecord record = LogRecord.decode(current.get().value());
		if (record.sequence() != this.lastSequence + 1) {
			if (record.sequence() > this.lastSequence + 1 || record.epoch().compareTo(this.epoch) > 0) {
				this.step = Step.FENCED;
				return;
			}
			throw new RecordFormatException("slot of record " + (this.lastSequence + 1) + " holds record "
					+ record.sequence() + " with a new version");
		}
		addRecord(record, current.get().version());
		this.lastSequence++;
		if (!isFinished()) {
			startMarkerWrite(now);
		}
	}

	private void headClaimCompleted(MonotonicTime now, RetryingWrite.Result result) throws RecordFormatException {
		if (result instanceof RetryingWrite.Result.Superseded superseded) {
			setHead(superseded.current());
			if (!isFinished()) {
				startHeadClaim(now);
			}
			return;
		}
		this.head = this.head.claimedBy(this.epoch);
		this.headVersion = ((RetryingWrite.Result.Applied) result).version();
		for (long sequence = this.head.sequence() + 1; sequence <= this.lastSequence; sequence++) {
			if (!this.records.containsKey(sequence)) {
				throw new RecordFormatException("record " + sequence + " is missing from the log");
			}
		}
		this.step = (this.head.chunks() == 0) ? Step.DONE : Step.LIST_CHUNKS;
		this.due = now;
	}

	private void chunksListed(List<StoredValue> values) throws RecordFormatException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		Map<String, StoredValue> byKey = new HashMap<>();
		values.forEach((value) -> byKey.put(value.key().path(), value));
		for (int i = 0; i < values.size(); i++) {
			StoredValue value = byKey.get(this.keys.chunk(this.head.generation(), i).path());
			if (value == null) {
				break;
			}
			this.chunkVersions.put(i, value.version());
			if (i < this.head.chunks()) {
				SnapshotChunk chunk = SnapshotChunk.decode(value.value());
				bytes.writeBytes(chunk.bytes());
			}
		}
		byte[] snapshotBytes = bytes.toByteArray();
		if (snapshotBytes.length != this.head.length() || checksum(snapshotBytes) != this.head.checksum()) {
			throw new RecordFormatException("snapshot up to record " + this.head.sequence() + " has "
					+ snapshotBytes.length + " bytes or a wrong checksum, expected " + this.head.length() + " bytes");
		}
		this.snapshot = Optional.of(snapshotBytes);
		this.step = Step.DONE;
	}

	private void fail(String reason) {
		this.failure = reason;
		this.step = Step.FAILED;
		this.write = null;
	}

	private int slotOf(long sequence) {
		return (int) (sequence % this.settings.slots());
	}

	static long checksum(byte[] bytes) {
		CRC32C crc = new CRC32C();
		crc.update(bytes);
		return crc.getValue();
	}

	private enum Step {

		LIST_SLOTS, READ_HEAD, WRITE_MARKER, CLAIM_HEAD, LIST_CHUNKS, DONE, FENCED, FAILED

	}

}
