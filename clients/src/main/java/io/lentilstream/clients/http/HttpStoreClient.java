package io.lentilstream.clients.http;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;

import io.lentilstream.clients.LeaseId;
import io.lentilstream.clients.LeaseOutcome;
import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreClient;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.StoredValue;
import io.lentilstream.clients.WatchOutcome;
import io.lentilstream.clients.WriteOutcome;

/**
 * Calls the store over HTTP.
 */
public final class HttpStoreClient implements StoreClient {

	static final MediaType JSON = MediaType.get("application/json");

	private final HttpCalls calls;

	private final HttpUrl base;

	private final String clientId;

	private final StoreCallMeter meter;

	/**
	 * Creates a client.
	 * @param calls sends the requests
	 * @param baseUrl the address of the store, such as {@code http://10.0.0.1:80/store}
	 * @param clientId names this process in the store's logs and counters
	 * @param meter counts the calls
	 */
	public HttpStoreClient(HttpCalls calls, String baseUrl, String clientId, StoreCallMeter meter) {
		this.calls = calls;
		this.base = HttpUrl.get(baseUrl);
		this.clientId = clientId;
		this.meter = meter;
	}

	@Override
	public CompletableFuture<ReadOutcome> read(StoreKey key) {
		this.meter.countRead();
		HttpUrl url = url("value", (builder) -> builder.addQueryParameter("key", key.path()));
		return send(get(url), callTimeout()).thenApply((result) -> readOutcome(key, result));
	}

	private static ReadOutcome readOutcome(StoreKey key, HttpResult result) {
		return answer(result, JsonAnswers.OK, PlatformMessages.ReadAnswer.class,
				(answer) -> (ReadOutcome) new ReadOutcome.Read(
						Optional.ofNullable(answer.value()).map((value) -> valueOf(key, value))))
			.orElseGet(() -> new ReadOutcome.Unavailable(reasonOf(result)));
	}

	private static StoredValue valueOf(StoreKey key, PlatformMessages.StoredMessage message) {
		if (!message.key().equals(key.path())) {
			throw new IllegalArgumentException("value of another key");
		}
		return PlatformJson.storedValue(message);
	}

	@Override
	public CompletableFuture<ListOutcome> list(StoreKey prefix) {
		this.meter.countRead();
		HttpUrl url = url("list", (builder) -> builder.addQueryParameter("prefix", prefix.path()));
		return send(get(url), callTimeout())
			.thenApply((result) -> answer(result, JsonAnswers.OK, PlatformMessages.ListAnswer.class,
					(answer) -> (ListOutcome) new ListOutcome.Listed(
							answer.values().stream().map(PlatformJson::storedValue).toList(), answer.revision()))
				.orElseGet(() -> new ListOutcome.Unavailable(reasonOf(result))));
	}

	@Override
	public CompletableFuture<WriteOutcome> write(StoreWrite write) {
		int size = write.value().map((value) -> value.length).orElse(0);
		if (size > MAX_VALUE_BYTES) {
			return CompletableFuture
				.completedFuture(new WriteOutcome.NotWritten("value of " + size + " bytes is over the limit"));
		}
		this.meter.countWrite();
		PlatformMessages.WriteMessage message = new PlatformMessages.WriteMessage(write.key().path(),
				write.value().orElse(null), write.expectedVersion(), write.lease().map(LeaseId::value).orElse(null));
		return send(post(url("write"), message), callTimeout()).thenApply((result) -> writeOutcome(write, result));
	}

	private static WriteOutcome writeOutcome(StoreWrite write, HttpResult result) {
		if (result instanceof HttpResult.Failed failed && !failed.sent()) {
			return new WriteOutcome.NotWritten(failed.reason());
		}
		Optional<WriteOutcome> written = answer(result, JsonAnswers.OK, PlatformMessages.WrittenAnswer.class,
				(answer) -> new WriteOutcome.Written(answer.version()));
		Optional<WriteOutcome> conflict = answer(result, JsonAnswers.CONFLICT, PlatformMessages.ConflictAnswer.class,
				(answer) -> new WriteOutcome.Conflict(
						Optional.ofNullable(answer.current()).map((value) -> valueOf(write.key(), value))));
		return written.or(() -> conflict)
			.or(() -> notApplied(result).map(WriteOutcome.NotWritten::new))
			.orElseGet(() -> new WriteOutcome.ReplyLost(reasonOf(result)));
	}

	// Returns the reason of an error answer that states that nothing was applied. Other
	// error answers, such as those of a proxy in between, leave it open.
	private static Optional<String> notApplied(HttpResult result) {
		if (!(result instanceof HttpResult.Whole whole) || whole.status() < 400) {
			return Optional.empty();
		}
		return JsonAnswers.read(whole, PlatformMessages.ErrorAnswer.class,
				(answer) -> answer.applied() ? null : String.valueOf(answer.reason()));
	}

	@Override
	public CompletableFuture<LeaseOutcome> grantLease(Duration ttl) {
		return lease(url("leases"), new PlatformMessages.LeaseMessage(ttl.toMillis()));
	}

	@Override
	public CompletableFuture<LeaseOutcome> renewLease(LeaseId lease) {
		return lease(url("leases/" + lease.value() + "/renew"), new PlatformMessages.LeaseAnswer(lease.value()));
	}

	@Override
	public CompletableFuture<LeaseOutcome> revokeLease(LeaseId lease) {
		return lease(url("leases/" + lease.value() + "/revoke"), new PlatformMessages.LeaseAnswer(lease.value()));
	}

	private CompletableFuture<LeaseOutcome> lease(HttpUrl url, Object message) {
		this.meter.countWrite();
		return send(post(url, message), callTimeout()).thenApply(HttpStoreClient::leaseOutcome);
	}

	private static LeaseOutcome leaseOutcome(HttpResult result) {
		// Only the store's own message counts as lapsed; a plain "404 Not Found" can come
		// from a wrong address.
		Optional<LeaseOutcome> lapsed = answer(result, JsonAnswers.NOT_FOUND, PlatformMessages.ErrorAnswer.class,
				(answer) -> new LeaseOutcome.Lapsed());
		return answer(result, JsonAnswers.OK, PlatformMessages.LeaseAnswer.class,
				(answer) -> (LeaseOutcome) new LeaseOutcome.Granted(new LeaseId(answer.lease())))
			.or(() -> lapsed)
			.orElseGet(() -> new LeaseOutcome.Unavailable(reasonOf(result)));
	}

	@Override
	public CompletableFuture<WatchOutcome> watch(StoreKey prefix, long afterRevision, Duration wait) {
		this.meter.countWatch();
		HttpUrl url = url("watch",
				(builder) -> builder.addQueryParameter("prefix", prefix.path())
					.addQueryParameter("after", Long.toString(afterRevision))
					.addQueryParameter("waitMillis", Long.toString(wait.toMillis())));
		return send(get(url), callTimeout().plus(wait)).thenApply(HttpStoreClient::watchOutcome);
	}

	private static WatchOutcome watchOutcome(HttpResult result) {
		Optional<WatchOutcome> compacted = answer(result, JsonAnswers.GONE, PlatformMessages.ErrorAnswer.class,
				(answer) -> new WatchOutcome.Compacted());
		return answer(result, JsonAnswers.OK, PlatformMessages.WatchAnswer.class, HttpStoreClient::changes)
			.or(() -> compacted)
			.orElseGet(() -> new WatchOutcome.Unavailable(reasonOf(result)));
	}

	private static WatchOutcome changes(PlatformMessages.WatchAnswer answer) {
		return new WatchOutcome.Changes(answer.changed().stream().map(PlatformJson::storedValue).toList(),
				answer.deleted().stream().map(StoreKey::new).toList(), answer.revision());
	}

	private static <M, T> Optional<T> answer(HttpResult result, int status, Class<M> type, Function<M, T> conversion) {
		if (!(result instanceof HttpResult.Whole whole) || whole.status() != status) {
			return Optional.empty();
		}
		return JsonAnswers.read(whole, type, conversion);
	}

	private static String reasonOf(HttpResult result) {
		if (result instanceof HttpResult.Whole whole) {
			return JsonAnswers.unexpected(whole);
		}
		return ((HttpResult.Failed) result).reason();
	}

	private Duration callTimeout() {
		return this.calls.settings().callTimeout();
	}

	private CompletableFuture<HttpResult> send(Request.Builder request, Duration timeout) {
		return this.calls.send(() -> request.header(PlatformMessages.CLIENT_ID, this.clientId), timeout,
				AnswerCheck.NONE);
	}

	private HttpUrl url(String path) {
		return url(path, (builder) -> {
		});
	}

	private HttpUrl url(String path, Consumer<HttpUrl.Builder> query) {
		HttpUrl.Builder builder = this.base.newBuilder().addPathSegments(path);
		query.accept(builder);
		return builder.build();
	}

	private static Request.Builder get(HttpUrl url) {
		return new Request.Builder().url(url);
	}

	private static Request.Builder post(HttpUrl url, Object message) {
		return new Request.Builder().url(url).post(RequestBody.create(PlatformJson.write(message), JSON));
	}

}
