package io.lentilstream.requests;

/**
 * Token bucket that limits the retries and hedges of a service to a share of its
 * requests, so that retries do not multiply the load when many attempts fail at once.
 */
final class RetryBudget {

	/**
	 * Size of the bucket: the burst of retries allowed after a period without retries.
	 */
	private static final double MAX_TOKENS = 10;

	private double tokens = MAX_TOKENS;

	void requestAdmitted(double share) {
		this.tokens = Math.min(MAX_TOKENS, this.tokens + share);
	}

	boolean available() {
		return this.tokens >= 1;
	}

	void spend() {
		this.tokens -= 1;
	}

}
