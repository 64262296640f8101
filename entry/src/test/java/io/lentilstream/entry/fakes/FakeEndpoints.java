package io.lentilstream.entry.fakes;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.lentilstream.clients.EndpointClient;
import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.EndpointRequest;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.RequestId;

/**
 * An endpoint client that returns configured outcomes and records the attempts.
 */
public final class FakeEndpoints implements EndpointClient {

	private final List<EndpointRequest> sent = new ArrayList<>();

	private Function<EndpointRequest, EndpointOutcome> answers;

	private KeyOutcome keyOutcome = new KeyOutcome.Unseen();

	public FakeEndpoints(Function<EndpointRequest, EndpointOutcome> answers) {
		this.answers = answers;
	}

	public static FakeEndpoints echoing() {
		return new FakeEndpoints((request) -> new EndpointOutcome.Answered(200, "text/plain", request.body()));
	}

	public void setAnswers(Function<EndpointRequest, EndpointOutcome> newAnswers) {
		this.answers = newAnswers;
	}

	public void setKeyOutcome(KeyOutcome outcome) {
		this.keyOutcome = outcome;
	}

	public List<EndpointRequest> sent() {
		return this.sent;
	}

	@Override
	public CompletableFuture<EndpointOutcome> send(EndpointId endpoint, EndpointRequest request) {
		this.sent.add(request);
		EndpointOutcome outcome = this.answers.apply(request);
		return (outcome != null) ? CompletableFuture.completedFuture(outcome) : new CompletableFuture<>();
	}

	@Override
	public CompletableFuture<KeyOutcome> lookUp(EndpointId endpoint, IdempotencyKey key) {
		return CompletableFuture.completedFuture(this.keyOutcome);
	}

	@Override
	public CompletableFuture<KeyOutcome> seal(EndpointId endpoint, IdempotencyKey key, RequestId attempt) {
		return CompletableFuture.completedFuture(
				(this.keyOutcome instanceof KeyOutcome.Unseen) ? new KeyOutcome.Sealed() : this.keyOutcome);
	}

	@Override
	public CompletableFuture<OptionalInt> inFlight(EndpointId endpoint) {
		return CompletableFuture.completedFuture(OptionalInt.of(0));
	}

}
