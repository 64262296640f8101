package io.lentilstream.clients.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

import io.lentilstream.clients.EndpointClient;
import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.EndpointRequest;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.RequestId;

/**
 * Sends requests to endpoints over HTTP.
 */
public final class HttpEndpointClient implements EndpointClient {

	/**
	 * Headers that belong to one connection or that this client sets itself, in lower
	 * case. {@code Expect} is dropped because the body is always sent at once.
	 */
	private static final Set<String> NOT_PASSED_ON = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect",
			"host", "content-length", "accept-encoding", "lentilstream-request-id", "idempotency-key",
			"lentilstream-timeout-ms");

	private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");

	private static final int STATUS_UNAVAILABLE = 503;

	private final HttpCalls calls;

	private final Function<EndpointId, String> addresses;

	/**
	 * Creates a client.
	 * @param calls sends the requests
	 * @param addresses returns the base URL of an endpoint, or {@code null} if it is not
	 * known
	 */
	public HttpEndpointClient(HttpCalls calls, Function<EndpointId, String> addresses) {
		this.calls = calls;
		this.addresses = addresses;
	}

	@Override
	public CompletableFuture<EndpointOutcome> send(EndpointId endpoint, EndpointRequest request) {
		HttpUrl base = baseOf(endpoint);
		if (base == null) {
			return CompletableFuture.completedFuture(new EndpointOutcome.NotSent("unknown address"));
		}
		return this.calls
			.send(() -> build(base, request), Duration.ofMillis(request.timeoutMillis()), ownAnswer(request.id()))
			.thenApply(HttpEndpointClient::outcome);
	}

	private static Request.Builder build(HttpUrl base, EndpointRequest request) {
		Request.Builder builder = new Request.Builder().url(resolve(base, request.path()));
		request.headers().forEach((name, value) -> {
			if (!NOT_PASSED_ON.contains(name.toLowerCase(Locale.ROOT))) {
				builder.header(name, value);
			}
		});
		builder.header(PlatformMessages.REQUEST_ID, request.id().value());
		builder.header(PlatformMessages.TIMEOUT_MILLIS, Long.toString(request.timeoutMillis()));
		request.key().ifPresent((key) -> builder.header(PlatformMessages.IDEMPOTENCY_KEY, key.value()));
		return builder.method(request.method(), bodyOf(request));
	}

	private static RequestBody bodyOf(EndpointRequest request) {
		if (request.body().length == 0 && METHODS_WITHOUT_BODY.contains(request.method())) {
			return null;
		}
		return RequestBody.create(request.body(), contentTypeOf(request.headers()));
	}

	private static MediaType contentTypeOf(Map<String, String> headers) {
		for (Map.Entry<String, String> header : headers.entrySet()) {
			if (header.getKey().equalsIgnoreCase("Content-Type")) {
				return MediaType.parse(header.getValue());
			}
		}
		return null;
	}

	// Appends a path to a base URL. A path must not name another host, such as
	// {@code @10.0.0.2/}, and must not leave the base path by dot segments.
	private static HttpUrl resolve(HttpUrl base, String path) {
		String prefix = base.toString();
		String start = prefix.endsWith("/") ? prefix.substring(0, prefix.length() - 1) : prefix;
		HttpUrl url = path.startsWith("/") ? HttpUrl.parse(start + path) : null;
		if (url == null || !url.toString().startsWith(start + "/")) {
			throw new IllegalArgumentException("invalid path");
		}
		return url;
	}

	private static EndpointOutcome outcome(HttpResult result) {
		if (result instanceof HttpResult.Failed failed) {
			return failed.sent() ? new EndpointOutcome.Broken(failed.reason())
					: new EndpointOutcome.NotSent(failed.reason());
		}
		HttpResult.Whole whole = (HttpResult.Whole) result;
		String refused = whole.headers().get(PlatformMessages.REFUSED);
		if (whole.status() != STATUS_UNAVAILABLE || refused == null) {
			return new EndpointOutcome.Answered(whole.status(), whole.contentType(), whole.body());
		}
		return switch (refused) {
			case PlatformMessages.REFUSED_FULL, PlatformMessages.REFUSED_SEALED -> new EndpointOutcome.Refused(false);
			case PlatformMessages.REFUSED_LEAVING -> new EndpointOutcome.Refused(true);
			default -> new EndpointOutcome.Broken("unknown refusal");
		};
	}

	private static AnswerCheck ownAnswer(RequestId id) {
		return (headers) -> isAnswerTo(id, headers) ? Optional.empty() : Optional.of("another request's answer");
	}

	private static boolean isAnswerTo(RequestId id, Headers headers) {
		return headers.values(PlatformMessages.REQUEST_ID).equals(List.of(id.value()));
	}

	@Override
	public CompletableFuture<KeyOutcome> lookUp(EndpointId endpoint, IdempotencyKey key) {
		return askAboutKey(endpoint, key, "outcomes/" + key.value(), null);
	}

	@Override
	public CompletableFuture<KeyOutcome> seal(EndpointId endpoint, IdempotencyKey key, RequestId attempt) {
		RequestBody body = RequestBody.create(attempt.value().getBytes(StandardCharsets.UTF_8));
		return askAboutKey(endpoint, key, "outcomes/" + key.value() + "/seal", body);
	}

	private CompletableFuture<KeyOutcome> askAboutKey(EndpointId endpoint, IdempotencyKey key, String path,
			RequestBody sealBody) {
		return ask(endpoint, path, sealBody).thenApply((result) -> {
			if (result instanceof HttpResult.Failed failed) {
				return new KeyOutcome.NoReply(failed.reason());
			}
			HttpResult.Whole whole = (HttpResult.Whole) result;
			if (whole.status() != JsonAnswers.OK) {
				return new KeyOutcome.NoReply(JsonAnswers.unexpected(whole));
			}
			return JsonAnswers
				.read(whole, PlatformMessages.KeyAnswer.class, (answer) -> keyOutcome(key, answer, sealBody != null))
				.orElseGet(() -> new KeyOutcome.NoReply(JsonAnswers.unexpected(whole)));
		});
	}

	private static KeyOutcome keyOutcome(IdempotencyKey key, PlatformMessages.KeyAnswer answer, boolean seal) {
		if (!answer.key().equals(key.value())) {
			return new KeyOutcome.NoReply("another key's answer");
		}
		return switch (answer.state()) {
			case "ran" -> new KeyOutcome.Ran(answer.status(), answer.contentType(), answer.body());
			case "running" -> new KeyOutcome.Running();
			case "unseen" -> seal ? null : new KeyOutcome.Unseen();
			case "sealed" -> new KeyOutcome.Sealed();
			default -> null;
		};
	}

	@Override
	public CompletableFuture<OptionalInt> inFlight(EndpointId endpoint) {
		return ask(endpoint, "in-flight", null).thenApply((result) -> {
			if (!(result instanceof HttpResult.Whole whole) || whole.status() != JsonAnswers.OK) {
				return OptionalInt.empty();
			}
			return JsonAnswers
				.read(whole, PlatformMessages.InFlightAnswer.class, (answer) -> OptionalInt.of(answer.inFlight()))
				.orElse(OptionalInt.empty());
		});
	}

	// Asks with a fresh correlation id, so that an answer to an earlier question on the
	// same connection is not taken for this one.
	private CompletableFuture<HttpResult> ask(EndpointId endpoint, String path, RequestBody putBody) {
		HttpUrl base = baseOf(endpoint);
		if (base == null) {
			return CompletableFuture.completedFuture(new HttpResult.Failed(false, "unknown address"));
		}
		RequestId id = new RequestId(UUID.randomUUID().toString());
		HttpUrl url = base.newBuilder().addPathSegments(path).build();
		return this.calls.send(() -> {
			Request.Builder request = new Request.Builder().url(url).header(PlatformMessages.REQUEST_ID, id.value());
			return (putBody != null) ? request.put(putBody) : request;
		}, this.calls.settings().callTimeout(), ownAnswer(id));
	}

	private HttpUrl baseOf(EndpointId endpoint) {
		String address = this.addresses.apply(endpoint);
		return (address != null) ? HttpUrl.parse(address) : null;
	}

}
