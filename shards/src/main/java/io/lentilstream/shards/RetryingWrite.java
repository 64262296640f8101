package io.lentilstream.shards;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.MonotonicTime;

/**
 * Brings one compare-and-swap to a certain end. After a lost reply it reads the key back.
 * A key that still has the expected version proves nothing, since the lost write may take
 * effect later; the same write is then repeated, and only one of the two can win. The
 * bytes must be unique to their writer, because equal bytes in the store count as written
 * by this write. Not thread-safe; the owner's lock guards it.
 */
public final class RetryingWrite {

	private final StoreWrite write;

	private final byte[] value;

	private final Duration retryInterval;

	private MonotonicTime due;

	private boolean inFlight;

	private boolean readBack;

	private int failures;

	/**
	 * Creates a write that is due at once.
	 * @param now the present time
	 * @param key the key
	 * @param value the bytes, unique to this writer
	 * @param expectedVersion the version that the key must have
	 * @param lease the lease whose end deletes the key, if any
	 * @param retryInterval time before the first repetition of a failed call; it doubles
	 * up to 8 times this time
	 */
	public RetryingWrite(MonotonicTime now, StoreKey key, byte[] value, long expectedVersion, Optional<LeaseId> lease,
			Duration retryInterval) {
		this.write = new StoreWrite(key, Optional.of(value), expectedVersion, lease);
		this.value = value;
		this.retryInterval = retryInterval;
		this.due = now;
	}

	/**
	 * Returns the next store call if one is due, and counts it as in flight.
	 * @param now the present time
	 * @return the call
	 */
	public Optional<Call> next(MonotonicTime now) {
		if (this.inFlight || now.isBefore(this.due)) {
			return Optional.empty();
		}
		this.inFlight = true;
		return Optional.of((this.readBack) ? new Call.Read(this.write.key()) : new Call.Write(this.write));
	}

	/**
	 * Returns when the next call is due.
	 * @return the time, or empty while a call is in flight
	 */
	public Optional<MonotonicTime> dueAt() {
		return (this.inFlight) ? Optional.empty() : Optional.of(this.due);
	}

	/**
	 * Returns the key of this write.
	 * @return the key
	 */
	public StoreKey key() {
		return this.write.key();
	}

	/**
	 * Returns the version that the key must have.
	 * @return the expected version
	 */
	public long expectedVersion() {
		return this.write.expectedVersion();
	}

	/**
	 * Takes the outcome of a write.
	 * @param now the present time
	 * @param outcome the outcome
	 * @return what is certain now
	 */
	public Result completed(MonotonicTime now, WriteOutcome outcome) {
		this.inFlight = false;
		if (outcome instanceof WriteOutcome.Written written) {
			return new Result.Applied(written.version());
		}
		if (outcome instanceof WriteOutcome.Conflict conflict) {
			return settle(conflict.current());
		}
		if (outcome instanceof WriteOutcome.ReplyLost) {
			this.readBack = true;
			this.due = now;
			return new Result.Open();
		}
		backOff(now);
		return new Result.Open();
	}

	/**
	 * Takes the outcome of a read.
	 * @param now the present time
	 * @param outcome the outcome
	 * @return what is certain now
	 */
	public Result completed(MonotonicTime now, ReadOutcome outcome) {
		this.inFlight = false;
		if (!(outcome instanceof ReadOutcome.Read read)) {
			backOff(now);
			return new Result.Open();
		}
		long version = read.value().map(StoredValue::version).orElse(StoreWrite.ABSENT);
		if (version == this.write.expectedVersion()) {
			this.readBack = false;
			backOff(now);
			return new Result.Open();
		}
		return settle(read.value());
	}

	private Result settle(Optional<StoredValue> current) {
		if (current.isPresent() && Arrays.equals(current.get().value(), this.value)) {
			return new Result.Applied(current.get().version());
		}
		return new Result.Lost(current);
	}

	private void backOff(MonotonicTime now) {
		this.due = now.plus(this.retryInterval.multipliedBy(1L << Math.min(3, this.failures)));
		this.failures++;
	}

	/**
	 * Is a store call of this write.
	 */
	public sealed interface Call {

		/**
		 * Writes the key.
		 *
		 * @param write the compare-and-swap
		 */
		record Write(StoreWrite write) implements Call {
		}

		/**
		 * Reads the key.
		 *
		 * @param key the key
		 */
		record Read(StoreKey key) implements Call {
		}

	}

	/**
	 * Is what is certain about the write.
	 */
	public sealed interface Result {

		/**
		 * The write took effect.
		 *
		 * @param version the version of the key
		 */
		record Applied(long version) implements Result {
		}

		/**
		 * The key has another version with other bytes; the write never takes effect.
		 *
		 * @param current the value of the key, or empty if it does not exist
		 */
		record Lost(Optional<StoredValue> current) implements Result {
		}

		/**
		 * Nothing is certain yet; another call follows.
		 */
		record Open() implements Result {
		}

	}

}
