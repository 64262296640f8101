package io.lentilstream.entry.records;

import io.lentilstream.model.RequestOutcome;

/**
 * The response of the owner of a request shard to a call about a key.
 */
public sealed interface RecordResponse {

	/**
	 * The outcome of the request as far as it is known.
	 *
	 * @param outcome the outcome to send to the caller
	 */
	record Outcome(RequestOutcome outcome) implements RecordResponse {
	}

	/**
	 * The key belongs to another request.
	 */
	record Conflict() implements RecordResponse {
	}

	/**
	 * The request exceeds the maximum size of a record.
	 *
	 * @param maxBytes the maximum body size, in bytes
	 */
	record TooLarge(int maxBytes) implements RecordResponse {
	}

	/**
	 * No request with the key is known.
	 */
	record NotFound() implements RecordResponse {
	}

}
