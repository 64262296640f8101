package io.lentilstream.requests;

/**
 * Circuit breaker of one endpoint. Slow or failed attempts first reduce the slots in use
 * and then stop all work; a successful probe starts a recovery that doubles the slots in
 * use until all are restored. Slowness is relative to the run times of the whole pool, so
 * a uniform slowdown stops no endpoint.
 */
final class EndpointHealth {

	/** Score from which the slots are reduced: logarithm of a run time ratio of 2.2. */
	static final double REDUCE_SCORE = 0.8;

	/** Score from which all work is stopped: logarithm of a run time ratio of 3. */
	static final double STOP_SCORE = 1.1;

	/** Score below which all slots are restored: logarithm of a run time ratio of 1.5. */
	static final double RESTORE_SCORE = 0.4;

	static final long FIRST_PROBE_NANOS = 1_000_000_000L;

	static final long MAX_PROBE_NANOS = 30_000_000_000L;

	/**
	 * Weight of one attempt in the score. With 0.2, exponentially distributed run times
	 * alone often raise the score above {@link #REDUCE_SCORE}; with 0.1, that threshold
	 * is more than 3 standard deviations away.
	 */
	private static final double WEIGHT = 0.1;

	/** Upper bound of the log ratio, which limits the effect of a single straggler. */
	private static final double MAX_LOG_RATIO = 2.1;

	private static final double MIN_LOG_RATIO = -1;

	/** Weight of one attempt in the failure rate. */
	private static final double FAILURE_WEIGHT = 0.2;

	/**
	 * Failure rate from which the slots are reduced, reached by two consecutive failures.
	 */
	private static final double REDUCE_FAILURES = 0.3;

	/**
	 * Failure rate from which all work is stopped, reached by three consecutive failures.
	 */
	private static final double STOP_FAILURES = 0.45;

	private static final int REDUCED_DIVISOR = 4;

	private State state = State.FULL;

	private double score;

	private double failures;

	private long probeNanos = FIRST_PROBE_NANOS;

	private int recoveryLimit;

	private int recoveryAnswers;

	/**
	 * Records an answer.
	 * @param logRatio the logarithm of the ratio of its run time to the median of its run
	 * time group
	 * @param mayRestrict whether enough unrestricted endpoints remain to restrict this
	 * one for slowness
	 * @param slots the slots of the endpoint
	 */
	void answered(double logRatio, boolean mayRestrict, int slots) {
		boolean slow = logRatio > STOP_SCORE;
		this.failures -= FAILURE_WEIGHT * this.failures;
		this.score += WEIGHT * (Math.max(MIN_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio)) - this.score);
		switch (this.state) {
			case PROBING, RECOVERING -> advanceRecovery(slow, slots);
			case FULL, REDUCED -> updateState(mayRestrict);
			case STOPPED -> {
				// Answers to attempts from before the stop are ignored.
			}
		}
	}

	/**
	 * Records a failure: a broken attempt, a failed connection or a server error.
	 */
	void failed() {
		this.failures += FAILURE_WEIGHT * (1 - this.failures);
		if (this.state == State.PROBING || this.state == State.RECOVERING) {
			advanceRecovery(true, 0);
		}
		else if (this.state != State.STOPPED) {
			updateState(true);
		}
	}

	/**
	 * Records that a probe ended with neither an answer nor a failure, for example
	 * because the endpoint was full.
	 */
	void probeRefused() {
		if (this.state == State.PROBING) {
			this.state = State.STOPPED;
		}
	}

	/**
	 * Stops all work until a probe succeeds.
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
	 * Returns the number of slots that may be used now, not counting a probe.
	 * @param slots the slots of the endpoint
	 * @return the usable slots
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

	private void updateState(boolean mayRestrict) {
		if (this.failures >= STOP_FAILURES || (mayRestrict && this.score >= STOP_SCORE)) {
			this.state = State.STOPPED;
		}
		else if (this.failures >= REDUCE_FAILURES || (mayRestrict && this.score >= REDUCE_SCORE)) {
			this.state = State.REDUCED;
		}
		else if (this.score < RESTORE_SCORE && this.failures < REDUCE_FAILURES / 2) {
			this.state = State.FULL;
			this.probeNanos = FIRST_PROBE_NANOS;
		}
	}

	private void advanceRecovery(boolean bad, int slots) {
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
	 * State of the circuit breaker.
	 */
	enum State {

		/** All slots may be used. */
		FULL,

		/** A quarter of the slots may be used, but at least one. */
		REDUCED,

		/** No slot may be used until a probe is due. */
		STOPPED,

		/** A probe is in flight and no other slot may be used. */
		PROBING,

		/**
		 * The limit starts at one slot after a successful probe and doubles with each
		 * round of answers of normal speed.
		 */
		RECOVERING

	}

}
