package io.lentilstream.model;

import java.util.Objects;

/**
 * What a caller is told about a request.
 */
public sealed interface RequestOutcome {

	/**
	 * The endpoint's whole answer.
	 *
	 * @param status the HTTP status of the endpoint
	 * @param contentType the media type of the body
	 * @param body the whole body
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
	 * The request is recorded in the store and runs later; its answer can be collected.
	 *
	 * @param key the key to collect the answer with
	 */
	record Accepted(IdempotencyKey key) implements RequestOutcome {
	}

	/**
	 * No endpoint ran the request, and none will.
	 *
	 * @param reason why the request was refused
	 * @param retryAfterMillis milliseconds after which a new try makes sense; 0 if no try
	 * makes sense
	 */
	record NotRun(NotRunReason reason, long retryAfterMillis) implements RequestOutcome {
	}

	/**
	 * The request was sent to an endpoint and no outcome is known.
	 *
	 * @param id the id to ask with later
	 */
	record Unknown(RequestId id) implements RequestOutcome {
	}

}
