package io.lentilstream.model;

import java.time.Duration;

/**
 * An instant on the monotonic clock of this process. Instants of different processes
 * cannot be compared.
 *
 * @param nanos nanoseconds since an arbitrary origin
 */
public record MonotonicTime(long nanos) implements Comparable<MonotonicTime> {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Creates an instant from milliseconds since the origin.
	 * @param millis milliseconds since the origin of the clock
	 * @return the instant
	 */
	public static MonotonicTime ofMillis(long millis) {
		return new MonotonicTime(millis * NANOS_PER_MILLI);
	}

	/**
	 * Returns this instant plus a duration.
	 * @param duration the duration to add; may be negative
	 * @return the resulting instant
	 */
	public MonotonicTime plus(Duration duration) {
		return new MonotonicTime(this.nanos + duration.toNanos());
	}

	/**
	 * Returns this instant plus a number of milliseconds.
	 * @param millis milliseconds to add; may be negative
	 * @return the resulting instant
	 */
	public MonotonicTime plusMillis(long millis) {
		return new MonotonicTime(this.nanos + millis * NANOS_PER_MILLI);
	}

	/**
	 * Returns the time from this instant until another one.
	 * @param other the other instant
	 * @return the duration; negative if the other instant is earlier
	 */
	public Duration until(MonotonicTime other) {
		return Duration.ofNanos(other.nanos - this.nanos);
	}

	/**
	 * Returns the whole milliseconds from this instant until another one.
	 * @param other the other instant
	 * @return milliseconds; negative if the other instant is earlier
	 */
	public long millisUntil(MonotonicTime other) {
		return (other.nanos - this.nanos) / NANOS_PER_MILLI;
	}

	/**
	 * Returns whether this instant is before another one.
	 * @param other the other instant
	 * @return {@code true} if this instant is earlier
	 */
	public boolean isBefore(MonotonicTime other) {
		return this.nanos - other.nanos < 0;
	}

	/**
	 * Returns whether this instant is after another one.
	 * @param other the other instant
	 * @return {@code true} if this instant is later
	 */
	public boolean isAfter(MonotonicTime other) {
		return this.nanos - other.nanos > 0;
	}

	@Override
	public int compareTo(MonotonicTime other) {
		return Long.signum(this.nanos - other.nanos);
	}

}
