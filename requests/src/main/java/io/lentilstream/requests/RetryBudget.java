package io.lentilstream.requests;

/**
 * Bounds the second attempts of a service to a share of its requests, so that retries
 * cannot multiply the load when much fails at once.
 */
final class RetryBudget {

	/** Retries that may come at once after a quiet time. */
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
