package io.lentilstream.shards.log;

import java.time.Duration;

import io.lentilstream.model.MonotonicTime;

/**
 * A token bucket that limits the store writes of one log. Commits are one commit interval
 * apart while the bucket holds writes, and are paced by the refill rate once it is empty.
 * Writes of snapshots are counted but not delayed; the commits after them wait longer.
 */
final class WriteRateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final Duration commitInterval;

	private final double writesPerSecond;

	private final int burst;

	private MonotonicTime updatedAt;

	private double availableWrites;

	private MonotonicTime nextCommit;

	WriteRateLimiter(ShardLogSettings settings, MonotonicTime now) {
		this.commitInterval = settings.commitInterval();
		this.writesPerSecond = settings.writesPerSecond();
		this.burst = settings.writeBurst();
		this.updatedAt = now;
		this.availableWrites = this.burst;
		this.nextCommit = now;
	}

	/**
	 * Records the start of a commit. Its writes are counted by {@link #recordWrite}.
	 * @param now the current time
	 */
	void recordCommit(MonotonicTime now) {
		this.nextCommit = later(this.nextCommit, now.plus(this.commitInterval));
	}

	/**
	 * Counts a write, including each retry.
	 * @param now the current time
	 */
	void recordWrite(MonotonicTime now) {
		double seconds = Math.max(0, this.updatedAt.until(now).toNanos() / NANOS_PER_SECOND);
		this.availableWrites = Math.min(this.burst, this.availableWrites + seconds * this.writesPerSecond) - 1;
		this.updatedAt = now;
		double missingWrites = Math.max(0, 1 - this.availableWrites);
		long nanos = (long) (missingWrites / this.writesPerSecond * NANOS_PER_SECOND);
		this.nextCommit = later(this.nextCommit, now.plus(Duration.ofNanos(nanos)));
	}

	MonotonicTime nextCommitAt() {
		return this.nextCommit;
	}

	private static MonotonicTime later(MonotonicTime one, MonotonicTime other) {
		return one.isAfter(other) ? one : other;
	}

}
