package io.lentilstream.entry.records;

import io.lentilstream.model.RequestOutcome;

/**
 * Is what the owner of a request shard tells about a key.
 */
public sealed interface WorkOutcome {

	/**
	 * The state of the request.
	 *
	 * @param outcome what the caller is told
	 */
	record Told(RequestOutcome outcome) implements WorkOutcome {
	}

	/**
	 * The key belongs to another request.
	 */
	record Conflict() implements WorkOutcome {
	}

	/**
	 * The request is larger than a record may be.
	 *
	 * @param maxBytes the largest body, in bytes
	 */
	record TooLarge(int maxBytes) implements WorkOutcome {
	}

	/**
	 * No request with the key is known.
	 */
	record NotFound() implements WorkOutcome {
	}

}
