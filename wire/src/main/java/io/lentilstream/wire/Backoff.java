package io.lentilstream.wire;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Computes the pause before the next connection attempt. The pause doubles with each
 * failure and is drawn from its upper half, so that peers that lost a VM together do not
 * return together.
 */
public final class Backoff {

	private final Duration shortest;

	private final Duration longest;

	private final RandomGenerator random;

	private int failures;

	/**
	 * Creates a backoff without failures.
	 * @param shortest the pause after the first failure
	 * @param longest the largest pause
	 * @param random the source of the jitter
	 */
	public Backoff(Duration shortest, Duration longest, RandomGenerator random) {
		this.shortest = shortest;
		this.longest = longest;
		this.random = random;
	}

	/**
	 * Counts a failure and returns the pause before the next attempt.
	 * @return the pause; between half of the doubled pause and all of it
	 */
	public Duration nextPause() {
		long limit = this.longest.toMillis();
		long pause = Math.min(limit, this.shortest.toMillis() << Math.min(this.failures, 20));
		this.failures++;
		return Duration.ofMillis(pause / 2 + this.random.nextLong(pause / 2 + 1));
	}

	/**
	 * Forgets the failures after a success.
	 */
	public void reset() {
		this.failures = 0;
	}

}
