package io.lentilstream.clients;

import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.RequestId;

/**
 * Sends requests to endpoints. No future completes exceptionally.
 */
public interface EndpointClient {

	/**
	 * Sends a request and waits for its whole answer.
	 * @param endpoint the endpoint
	 * @param request the request
	 * @return the outcome
	 */
	CompletableFuture<EndpointOutcome> send(EndpointId endpoint, EndpointRequest request);

	/**
	 * Asks what became of an idempotency key.
	 * @param endpoint the endpoint
	 * @param key the key
	 * @return the outcome
	 */
	CompletableFuture<KeyOutcome> lookUp(EndpointId endpoint, IdempotencyKey key);

	/**
	 * Makes the endpoint refuse one attempt of a key that it has not run yet.
	 * @param endpoint the endpoint
	 * @param key the key
	 * @param attempt the request id of the attempt to refuse
	 * @return the outcome; {@link KeyOutcome.Ran} or {@link KeyOutcome.Running} if the
	 * key ran meanwhile
	 */
	CompletableFuture<KeyOutcome> seal(EndpointId endpoint, IdempotencyKey key, RequestId attempt);

	/**
	 * Asks how many requests the endpoint runs now.
	 * @param endpoint the endpoint
	 * @return the count, or empty if the endpoint did not answer
	 */
	CompletableFuture<OptionalInt> inFlight(EndpointId endpoint);

}
