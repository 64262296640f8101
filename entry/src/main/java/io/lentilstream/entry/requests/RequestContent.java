package io.lentilstream.entry.requests;

import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.IdempotencyKey;

/**
 * Is the part of a request that decisions do not look at.
 *
 * @param method the HTTP method
 * @param path the path and query to send to the endpoint
 * @param headers the headers to pass on, the trace context among them
 * @param body the whole body
 * @param key the idempotency key, if the caller gave one
 */
public record RequestContent(String method, String path, Map<String, String> headers, byte[] body,
		Optional<IdempotencyKey> key) {
}
