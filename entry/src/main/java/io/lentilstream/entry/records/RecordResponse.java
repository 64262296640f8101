package io.lentilstream.entry.records;

import io.lentilstream.model.RequestOutcome;

/**
 * Is what the owner of a request shard tells about a key.
 */
public sealed interface RecordResponse {

	/**
	 * The state of the request.
	 *
	 * @param outcome what the caller is told
	 */
	record Outcome(RequestOutcome outcome) implements RecordResponse {
	}

	/**
	 * The key belongs to another request.
	 */
	record Conflict() implements RecordResponse {
	}

	/**
	 * The request is larger than a record may be.
	 *
	 * @param maxBytes the largest body, in bytes
	 */
	record TooLarge(int maxBytes) implements RecordResponse {
	}

	/**
	 * No request with the key is known.
	 */
	record NotFound() implements RecordResponse {
	}

}
