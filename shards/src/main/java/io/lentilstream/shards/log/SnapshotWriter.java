package io.lentilstream.shards.log;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;

import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.shards.RecordFormatException;
import io.lentilstream.shards.RetryingWrite;

/**
 * Writes one snapshot: the chunks of the generation that the current head does not name,
 * then the head. A crash in between leaves the earlier snapshot intact.
 */
final class SnapshotWriter {

	private final ShardLogSettings settings;

	private final LogKeys keys;

	private final byte[] bytes;

	private final SnapshotHead head;

	private final Map<Integer, Long> chunkVersions;

	private final long headVersion;

	private int index;

	private RetryingWrite write;

	private State state = State.RUNNING;

	private long newHeadVersion;

	private String failure;

	SnapshotWriter(MonotonicTime now, ShardLogSettings settings, LogKeys keys, SnapshotHead head, byte[] bytes,
			Map<Integer, Long> chunkVersions, long headVersion) {
		this.settings = settings;
		this.keys = keys;
		this.bytes = bytes;
		this.head = head;
		this.chunkVersions = chunkVersions;
		this.headVersion = headVersion;
		startNextWrite(now);
	}

	static SnapshotHead newHead(ShardLogSettings settings, Epoch epoch, long sequence, int generation, byte[] bytes) {
		int chunks = Math.max(1, (bytes.length + settings.chunkBytes() - 1) / settings.chunkBytes());
		return new SnapshotHead(epoch, sequence, generation, chunks, bytes.length, LogRecovery.checksum(bytes));
	}

	Optional<RetryingWrite.Call> nextCall(MonotonicTime now) {
		return this.write.nextCall(now);
	}

	Optional<MonotonicTime> dueAt() {
		return this.write.dueAt();
	}

	State completed(MonotonicTime now, WriteOutcome outcome) {
		return writeCompleted(now, this.write.completed(now, outcome));
	}

	State completed(MonotonicTime now, ReadOutcome outcome) {
		return writeCompleted(now, this.write.completed(now, outcome));
	}

	SnapshotHead head() {
		return this.head;
	}

	long newHeadVersion() {
		return this.newHeadVersion;
	}

	String failure() {
		return this.failure;
	}

	private void startNextWrite(MonotonicTime now) {
		if (this.index == this.head.chunks()) {
			this.write = new RetryingWrite(now, this.keys.snapshotHead(), this.head.encode(), this.headVersion,
					Optional.empty(), this.settings.retryInterval());
			return;
		}
		int from = this.index * this.settings.chunkBytes();
		int to = Math.min(this.bytes.length, from + this.settings.chunkBytes());
		byte[] chunk = new SnapshotChunk(this.head.epoch(), this.head.sequence(), this.index,
				Arrays.copyOfRange(this.bytes, from, to))
			.encode();
		this.write = new RetryingWrite(now, this.keys.chunk(this.head.generation(), this.index), chunk,
				this.chunkVersions.getOrDefault(this.index, StoreWrite.ABSENT), Optional.empty(),
				this.settings.retryInterval());
	}

	private State writeCompleted(MonotonicTime now, RetryingWrite.Result result) {
		boolean isHead = this.index == this.head.chunks();
		if (result instanceof RetryingWrite.Result.Applied applied) {
			if (isHead) {
				this.newHeadVersion = applied.version();
				this.state = State.DONE;
				return this.state;
			}
			this.chunkVersions.put(this.index, applied.version());
			this.index++;
			startNextWrite(now);
		}
		else if (result instanceof RetryingWrite.Result.Superseded superseded) {
			if (isHead) {
				this.state = State.FENCED;
				return this.state;
			}
			retryWithCurrentVersion(now, superseded.current());
		}
		return this.state;
	}

	// Chunks of the generation that the head does not name may be overwritten, unless a
	// later owner wrote them.
	private void retryWithCurrentVersion(MonotonicTime now, Optional<StoredValue> current) {
		try {
			if (current.isPresent()) {
				SnapshotChunk chunk = SnapshotChunk.decode(current.get().value());
				if (chunk.epoch().compareTo(this.head.epoch()) > 0) {
					this.state = State.FENCED;
					return;
				}
			}
			this.chunkVersions.put(this.index, current.map(StoredValue::version).orElse(StoreWrite.ABSENT));
			startNextWrite(now);
		}
		catch (RecordFormatException ex) {
			this.failure = ex.getMessage();
			this.state = State.FAILED;
		}
	}

	enum State {

		RUNNING, DONE, FENCED, FAILED

	}

}
