package io.lentilstream.clients;

import java.util.Map;
import java.util.Optional;

import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.RequestId;

/**
 * Is a request as sent to an endpoint.
 *
 * @param id the correlation id; the endpoint returns it with the answer
 * @param key the idempotency key, if the request must not be repeated
 * @param method the HTTP method
 * @param path the path with query
 * @param headers the headers to pass on
 * @param body the body
 * @param timeoutMillis milliseconds that the endpoint has for the answer
 */
public record EndpointRequest(RequestId id, Optional<IdempotencyKey> key, String method, String path,
		Map<String, String> headers, byte[] body, long timeoutMillis) {
}
