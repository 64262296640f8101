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
 * A compare-and-swap that is retried until its outcome is known. If the reply is lost,
 * the key is read back. A key that still has the expected version proves nothing, since
 * the lost write may take effect later; the write is then repeated, and at most one of
 * the two can succeed. The value must be unique to its writer, because an equal value in
 * the store counts as the result of this write. Not thread-safe; callers hold their own
 * lock.
 */
public final class RetryingWrite {

	private final StoreWrite write;

	private final byte[] value;

	private final Duration retryInterval;

	private MonotonicTime due;

	private boolean inFlight;

	private boolean readBack;

	private int failedCalls;

	/**
	 * Creates a write whose first call is due immediately.
	 * @param now the current time
	 * @param key the key
	 * @param value the value, unique to this writer
	 * @param expectedVersion the version that the key must have
	 * @param lease the lease to which the key is attached, if any; the store deletes the
	 * key when the lease ends
	 * @param retryInterval delay before the first retry of a failed call; it doubles with
	 * each failure, up to 8 times this value
	 */
	public RetryingWrite(MonotonicTime now, StoreKey key, byte[] value, long expectedVersion, Optional<LeaseId> lease,
			Duration retryInterval) {
		this.write = new StoreWrite(key, Optional.of(value), expectedVersion, lease);
		this.value = value;
		this.retryInterval = retryInterval;
		this.due = now;
	}

	/**
	 * Returns the next store call if one is due, and marks it as in flight.
	 * @param now the current time
	 * @return the call, or empty if none is due or one is in flight
	 */
	public Optional<Call> nextCall(MonotonicTime now) {
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
	 * Processes the outcome of a write.
	 * @param now the current time
	 * @param outcome the outcome
	 * @return what is known about the write
	 */
	public Result completed(MonotonicTime now, WriteOutcome outcome) {
		this.inFlight = false;
		if (outcome instanceof WriteOutcome.Written written) {
			return new Result.Applied(written.version());
		}
		if (outcome instanceof WriteOutcome.Conflict conflict) {
			return resolve(conflict.current());
		}
		if (outcome instanceof WriteOutcome.ReplyLost) {
			this.readBack = true;
			this.due = now;
			return new Result.Pending();
		}
		backOff(now);
		return new Result.Pending();
	}

	/**
	 * Processes the outcome of a read.
	 * @param now the current time
	 * @param outcome the outcome
	 * @return what is known about the write
	 */
	public Result completed(MonotonicTime now, ReadOutcome outcome) {
		this.inFlight = false;
		if (!(outcome instanceof ReadOutcome.Read read)) {
			backOff(now);
			return new Result.Pending();
		}
		long version = read.value().map(StoredValue::version).orElse(StoreWrite.ABSENT);
		if (version == this.write.expectedVersion()) {
			this.readBack = false;
			backOff(now);
			return new Result.Pending();
		}
		return resolve(read.value());
	}

	private Result resolve(Optional<StoredValue> current) {
		if (current.isPresent() && Arrays.equals(current.get().value(), this.value)) {
			return new Result.Applied(current.get().version());
		}
		return new Result.Superseded(current);
	}

	private void backOff(MonotonicTime now) {
		this.due = now.plus(this.retryInterval.multipliedBy(1L << Math.min(3, this.failedCalls)));
		this.failedCalls++;
	}

	/**
	 * A store call that this write needs.
	 */
	public sealed interface Call {

		/**
		 * A compare-and-swap of the key.
		 *
		 * @param write the compare-and-swap
		 */
		record Write(StoreWrite write) implements Call {
		}

		/**
		 * A read of the key.
		 *
		 * @param key the key
		 */
		record Read(StoreKey key) implements Call {
		}

	}

	/**
	 * The state of the write.
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
		 * The key has another version with another value; the write can no longer take
		 * effect.
		 *
		 * @param current the value of the key, or empty if it does not exist
		 */
		record Superseded(Optional<StoredValue> current) implements Result {
		}

		/**
		 * The outcome is not known yet; another call follows.
		 */
		record Pending() implements Result {
		}

	}

}
