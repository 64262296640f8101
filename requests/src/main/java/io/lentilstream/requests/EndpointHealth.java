package io.lentilstream.requests;

/**
 * Decides how much work an endpoint gets from how its attempts end: less work when it is
 * slow or fails, then none, then one probe, then step by step the full work again.
 * Slowness is measured against the run times of the whole pool, so a pool that becomes
 * slower as a whole loses no endpoint.
 */
final class EndpointHealth {

	/** Logarithm of the run time ratio (2.2x) from which an endpoint gets less work. */
	static final double REDUCE_SCORE = 0.8;

	/** Logarithm of the run time ratio (3x) from which an endpoint gets no work. */
	static final double STOP_SCORE = 1.1;

	/** Logarithm of the run time ratio (1.5x) below which the full work returns. */
	static final double RESTORE_SCORE = 0.4;

	static final long FIRST_PROBE_NANOS = 1_000_000_000L;

	static final long MAX_PROBE_NANOS = 30_000_000_000L;

	/**
	 * Weight of one attempt. With 0.2, exponential run times alone raise the score above
	 * {@link #REDUCE_SCORE} often; with 0.1, that is more than 3 standard deviations.
	 */
	private static final double WEIGHT = 0.1;

	/** Bounds what a single straggler adds to the score. */
	private static final double MAX_LOG_RATIO = 2.1;

	private static final double MIN_LOG_RATIO = -1;

	/** Weight of one attempt in the share of failures. */
	private static final double FAILURE_WEIGHT = 0.2;

	/** Reached by two failures in a row. */
	private static final double REDUCE_FAILURES = 0.3;

	/** Reached by three failures in a row. */
	private static final double STOP_FAILURES = 0.45;

	private static final int REDUCED_DIVISOR = 4;

	private State state = State.FULL;

	private double score;

	private double failures;

	private long probeNanos = FIRST_PROBE_NANOS;

	private int recoveryLimit;

	private int recoveryAnswers;

	/**
	 * Takes in an answer.
	 * @param logRatio the logarithm of its time relative to the median of the pool
	 * @param mayStop whether enough other endpoints have work to stop this one for
	 * slowness
	 * @param slots the slots of the endpoint
	 */
	void answered(double logRatio, boolean mayStop, int slots) {
		boolean slow = logRatio > STOP_SCORE;
		this.failures -= FAILURE_WEIGHT * this.failures;
		this.score += WEIGHT * (Math.max(MIN_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio)) - this.score);
		switch (this.state) {
			case PROBING, RECOVERING -> recover(slow, slots);
			case FULL, REDUCED -> judge(mayStop);
			case STOPPED -> {
				// An answer of an attempt from before the stop changes nothing.
			}
		}
	}

	/**
	 * Takes in a failure: a broken attempt, a connection that failed or a server error.
	 */
	void failed() {
		this.failures += FAILURE_WEIGHT * (1 - this.failures);
		if (this.state == State.PROBING || this.state == State.RECOVERING) {
			recover(true, 0);
		}
		else if (this.state != State.STOPPED) {
			judge(true);
		}
	}

	/**
	 * Takes in that a probe got neither an answer nor a failure, for example because the
	 * endpoint was full.
	 */
	void probeRefused() {
		if (this.state == State.PROBING) {
			this.state = State.STOPPED;
		}
	}

	/**
	 * Stops the work until a probe shows that the endpoint accepts it again.
	 */
	void requireProbe() {
		this.state = State.STOPPED;
	}

	void probeStarted() {
		this.state = State.PROBING;
	}

	State state() {
		return this.state;
	}

	/**
	 * Returns how many slots the endpoint may use now, apart from a probe.
	 * @param slots the slots of the endpoint
	 * @return slots to use
	 */
	int limit(int slots) {
		return switch (this.state) {
			case FULL -> slots;
			case REDUCED -> Math.max(1, slots / REDUCED_DIVISOR);
			case RECOVERING -> Math.min(slots, this.recoveryLimit);
			case STOPPED, PROBING -> 0;
		};
	}

	long probeDelayNanos() {
		return this.probeNanos;
	}

	private void judge(boolean mayStop) {
		if (this.failures >= STOP_FAILURES || (mayStop && this.score >= STOP_SCORE)) {
			this.state = State.STOPPED;
		}
		else if (this.failures >= REDUCE_FAILURES || (mayStop && this.score >= REDUCE_SCORE)) {
			this.state = State.REDUCED;
		}
		else if (this.score < RESTORE_SCORE && this.failures < REDUCE_FAILURES / 2) {
			this.state = State.FULL;
			this.probeNanos = FIRST_PROBE_NANOS;
		}
	}

	private void recover(boolean bad, int slots) {
		if (bad) {
			this.state = State.STOPPED;
			this.probeNanos = Math.min(MAX_PROBE_NANOS, this.probeNanos * 2);
			return;
		}
		if (this.state == State.PROBING) {
			this.state = State.RECOVERING;
			this.recoveryLimit = 1;
			this.recoveryAnswers = 0;
			return;
		}
		if (++this.recoveryAnswers >= this.recoveryLimit) {
			this.recoveryAnswers = 0;
			this.recoveryLimit *= 2;
		}
		if (this.recoveryLimit >= slots) {
			this.state = State.FULL;
			this.score = 0;
			this.failures = 0;
		}
	}

	/**
	 * How much work an endpoint gets.
	 */
	enum State {

		/** All its slots. */
		FULL,

		/** A quarter of its slots. */
		REDUCED,

		/** No work until a probe is due. */
		STOPPED,

		/** One attempt is the probe. */
		PROBING,

		/** One slot after a good probe, doubled with each round of good answers. */
		RECOVERING

	}

}
