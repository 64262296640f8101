package io.lentilstream.model;

import java.util.Objects;

/**
 * The outcome of a request as reported to its caller.
 */
public sealed interface RequestOutcome {

	/**
	 * The complete answer of the endpoint.
	 *
	 * @param status the HTTP status of the endpoint
	 * @param contentType the media type of the body
	 * @param body the complete body
	 */
	record Answered(int status, String contentType, byte[] body) implements RequestOutcome {

		@Override
		public boolean equals(Object other) {
			return other instanceof Answered that && this.status == that.status
					&& Objects.equals(this.contentType, that.contentType)
					&& java.util.Arrays.equals(this.body, that.body);
		}

		@Override
		public int hashCode() {
			return Objects.hash(this.status, this.contentType, java.util.Arrays.hashCode(this.body));
		}

	}

	/**
	 * The request is recorded in the store and will run later.
	 *
	 * @param key the key with which the caller can collect the answer
	 */
	record Accepted(IdempotencyKey key) implements RequestOutcome {
	}

	/**
	 * No endpoint ran the request, and none will.
	 *
	 * @param reason why the request was refused
	 * @param retryAfterMillis milliseconds after which the caller may retry; 0 if a retry
	 * cannot succeed
	 */
	record NotRun(NotRunReason reason, long retryAfterMillis) implements RequestOutcome {
	}

	/**
	 * The request was sent to an endpoint, and it is unknown whether it ran.
	 *
	 * @param id the id under which the outcome can be queried later
	 */
	record Unknown(RequestId id) implements RequestOutcome {
	}

}
