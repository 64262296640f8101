package io.lentilstream.entry.requests;

import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.IdempotencyKey;

/**
 * The content of a request, which does not affect scheduling.
 *
 * @param method the HTTP method
 * @param path the path and query to send to the endpoint
 * @param headers the headers to forward, including the trace context
 * @param body the body
 * @param key the idempotency key, or empty if the caller sent none
 */
public record RequestContent(String method, String path, Map<String, String> headers, byte[] body,
		Optional<IdempotencyKey> key) {
}
