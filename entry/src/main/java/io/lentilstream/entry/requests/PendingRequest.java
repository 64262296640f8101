package io.lentilstream.entry.requests;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.requests.IncomingRequest;

/**
 * A request whose caller has no outcome yet, with the answers of its attempts.
 */
final class PendingRequest {

	private final IncomingRequest request;

	private final RequestContent content;

	private final CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();

	private final Map<Integer, RequestOutcome.Answered> answers = new ConcurrentHashMap<>();

	private volatile EndpointId lastEndpoint;

	PendingRequest(IncomingRequest request, RequestContent content) {
		this.request = request;
		this.content = content;
	}

	IncomingRequest request() {
		return this.request;
	}

	RequestContent content() {
		return this.content;
	}

	CompletableFuture<RequestOutcome> outcome() {
		return this.outcome;
	}

	void setLastEndpoint(EndpointId endpoint) {
		this.lastEndpoint = endpoint;
	}

	EndpointId lastEndpoint() {
		return this.lastEndpoint;
	}

	void putAnswer(int attempt, RequestOutcome.Answered answer) {
		this.answers.put(attempt, answer);
	}

	RequestOutcome.Answered answer(int attempt) {
		return this.answers.get(attempt);
	}

}
