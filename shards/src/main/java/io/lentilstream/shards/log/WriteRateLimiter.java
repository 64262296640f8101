package io.lentilstream.shards.log;

import java.time.Duration;

import io.lentilstream.model.MonotonicTime;

/**
 * Limits the store writes of one log. Commits are one commit interval apart while writes
 * are saved up, and as far apart as the budget demands afterwards. Writes of snapshots
 * are counted but not delayed; the commits after them wait longer.
 */
final class WriteRateLimiter {

	private static final double NANOS_PER_SECOND = 1e9;

	private final Duration commitInterval;

	private final double writesPerSecond;

	private final int burst;

	private MonotonicTime updatedAt;

	private double available;

	private MonotonicTime nextCommit;

	WriteRateLimiter(ShardLogSettings settings, MonotonicTime now) {
		this.commitInterval = settings.commitInterval();
		this.writesPerSecond = settings.writesPerSecond();
		this.burst = settings.writeBurst();
		this.updatedAt = now;
		this.available = this.burst;
		this.nextCommit = now;
	}

	/**
	 * Notes the start of a commit, whose writes are counted when they are sent.
	 * @param now the present time
	 */
	void commitStarted(MonotonicTime now) {
		this.nextCommit = later(this.nextCommit, now.plus(this.commitInterval));
	}

	/**
	 * Counts a write, also a repeated one.
	 * @param now the present time
	 */
	void writeSent(MonotonicTime now) {
		double seconds = Math.max(0, this.updatedAt.until(now).toNanos() / NANOS_PER_SECOND);
		this.available = Math.min(this.burst, this.available + seconds * this.writesPerSecond) - 1;
		this.updatedAt = now;
		double missing = Math.max(0, 1 - this.available);
		long nanos = (long) (missing / this.writesPerSecond * NANOS_PER_SECOND);
		this.nextCommit = later(this.nextCommit, now.plus(Duration.ofNanos(nanos)));
	}

	MonotonicTime nextCommitAt() {
		return this.nextCommit;
	}

	private static MonotonicTime later(MonotonicTime one, MonotonicTime other) {
		return one.isAfter(other) ? one : other;
	}

}
