package io.lentilstream.clients;

/**
 * Is the outcome of sending a request to an endpoint.
 */
public sealed interface EndpointOutcome {

	/**
	 * The endpoint's whole answer to this very request.
	 *
	 * @param status the HTTP status
	 * @param contentType the media type
	 * @param body the whole body
	 */
	record Answered(int status, String contentType, byte[] body) implements EndpointOutcome {
	}

	/**
	 * The endpoint refused the request before running it.
	 *
	 * @param leaving whether it refuses because it is leaving, not because it is full
	 */
	record Refused(boolean leaving) implements EndpointOutcome {
	}

	/**
	 * The connection failed before any byte of the request was written.
	 *
	 * @param reason a short reason
	 */
	record NotSent(String reason) implements EndpointOutcome {
	}

	/**
	 * The request was sent, at least in part, and no whole answer of its own arrived.
	 *
	 * @param reason a short reason: timeout, broken connection, truncated body or another
	 * request's answer
	 */
	record Broken(String reason) implements EndpointOutcome {
	}

}
