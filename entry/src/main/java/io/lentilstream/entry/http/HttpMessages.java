package io.lentilstream.entry.http;

import io.lentilstream.model.NotRunReason;

/**
 * The texts of HTTP responses.
 */
final class HttpMessages {

	static final String OUTCOME_UNKNOWN = "The request was sent to an endpoint and no whole answer arrived. "
			+ "Ask with the id before trying again.";

	static final String KEY_CONFLICT = "The idempotency key %s was used with another request body.";

	static final String MISSING_KEY = "The header Idempotency-Key is missing or not a valid key.";

	static final String BAD_TIMEOUT = "The header Lentilstream-Timeout-Ms must be a whole number from 1 to %d.";

	static final String BAD_URGENCY = "The header Lentilstream-Urgency must be urgent, deferrable or batch.";

	static final String UNKNOWN_SERVICE = "There is no service %s/%s.";

	static final String UNKNOWN_KIND = "There is no kind %s/%s.";

	static final String UNKNOWN_KEY = "No request with the key %s is known here.";

	static final String BODY_TOO_LARGE = "The body is larger than the limit.";

	static final String FORM = "The request was not run. Send the body with another content type than a form.";

	static final String NO_ROUTE = "There is nothing under this path.";

	static final String INTERNAL = "The entry daemon could not handle the request.";

	private HttpMessages() {
	}

	static String describe(NotRunReason reason) {
		return switch (reason) {
			case DEADLINE_TOO_CLOSE -> "The estimated wait is longer than the time left.";
			case DEADLINE_PASSED -> "The deadline passed while the request was queued.";
			case QUEUE_FULL -> "The queue of the service is full.";
			case OVER_QUOTA -> "The team is over its quota.";
			case NO_ENDPOINT -> "No endpoint of the service accepts work.";
			case REFUSED_BY_ENDPOINTS -> "Every endpoint that was tried refused the request.";
			case STORE_UNAVAILABLE -> "The store cannot be reached, so the request cannot be recorded.";
			case OWNER_UNAVAILABLE -> "The owner of the request's shard cannot be reached.";
			case SHUTTING_DOWN -> "This entry VM shuts down.";
			case CANCELLED -> "The request was cancelled before an endpoint ran it.";
		};
	}

}
