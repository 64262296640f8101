package io.lentilstream.clients.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.net.ProtocolException;
import java.net.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.BufferedSource;

/**
 * Sends HTTP requests exactly once and reads whole bounded answers. Continuations of the
 * returned futures run on threads of this client and must not block.
 */
public final class HttpCalls implements AutoCloseable {

	/**
	 * Shorter than the idle timeout of common HTTP servers, since a request on a
	 * connection that the server is closing ends as broken and not as not sent.
	 */
	private static final long IDLE_SECONDS = 20;

	private static final int STATUS_NO_CONTENT = 204;

	private static final int STATUS_NOT_MODIFIED = 304;

	private static final int STATUS_UNAVAILABLE = 503;

	private final HttpClientSettings settings;

	private final OkHttpClient client;

	private final AtomicInteger inFlight = new AtomicInteger();

	/**
	 * Creates a client with its own threads and connections.
	 * @param settings the limits
	 */
	public HttpCalls(HttpClientSettings settings) {
		this.settings = settings;
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(settings.maximumCalls());
		dispatcher.setMaxRequestsPerHost(settings.maximumCalls());
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(settings.idleConnections(), IDLE_SECONDS, TimeUnit.SECONDS))
			.connectTimeout(settings.connectTimeout())
			.readTimeout(Duration.ZERO)
			.writeTimeout(Duration.ZERO)
			.retryOnConnectionFailure(false)
			.fastFallback(false)
			.followRedirects(false)
			.followSslRedirects(false)
			.protocols(List.of(Protocol.HTTP_1_1))
			.proxy(Proxy.NO_PROXY)
			.eventListenerFactory(HttpCalls::listenerOf)
			.addNetworkInterceptor((chain) -> withoutRetryAfter(chain.proceed(chain.request())))
			.build();
	}

	private static EventListener listenerOf(Call call) {
		SentMark mark = call.request().tag(SentMark.class);
		return (mark != null) ? mark : EventListener.NONE;
	}

	// Removes the header with which OkHttp would silently send the request a second time,
	// which it does for "503 Retry-After: 0" even if retries are off.
	private static Response withoutRetryAfter(Response response) {
		if (response.code() != STATUS_UNAVAILABLE || response.header("Retry-After") == null) {
			return response;
		}
		return response.newBuilder().removeHeader("Retry-After").build();
	}

	HttpClientSettings settings() {
		return this.settings;
	}

	/**
	 * Sends a request.
	 * @param request builds the request; an {@link IllegalArgumentException} is reported
	 * as not sent
	 * @param timeout the longest time of the call
	 * @param check checks the headers of the answer
	 * @return the result; never completes exceptionally
	 */
	CompletableFuture<HttpResult> send(Supplier<Request.Builder> request, Duration timeout, AnswerCheck check) {
		if (timeout.isZero() || timeout.isNegative()) {
			return CompletableFuture.completedFuture(new HttpResult.Failed(false, "deadline passed"));
		}
		SentMark mark = new SentMark();
		Call call;
		try {
			call = this.client
				.newCall(request.get().header("Accept-Encoding", "identity").tag(SentMark.class, mark).build());
		}
		catch (IllegalArgumentException ex) {
			return CompletableFuture.completedFuture(new HttpResult.Failed(false, "invalid request"));
		}
		if (this.inFlight.incrementAndGet() > this.settings.maximumCalls()) {
			this.inFlight.decrementAndGet();
			return CompletableFuture.completedFuture(new HttpResult.Failed(false, "too many calls in flight"));
		}
		call.timeout().timeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
		CompletableFuture<HttpResult> result = new CompletableFuture<>();
		call.enqueue(new ResultCallback(mark, check, result));
		return result;
	}

	private HttpResult read(Response response, AnswerCheck check) throws IOException {
		Optional<String> refusal = check.refusal(response.headers());
		if (refusal.isPresent()) {
			return new HttpResult.Failed(true, refusal.get());
		}
		if (hasNoBody(response)) {
			return new HttpResult.Whole(response.code(), response.headers(), new byte[0]);
		}
		ResponseBody body = response.body();
		long length = body.contentLength();
		if (length < 0 && !"chunked".equalsIgnoreCase(response.header("Transfer-Encoding"))) {
			return new HttpResult.Failed(true, "body of unknown length");
		}
		BufferedSource source = body.source();
		if (length > this.settings.maximumBodyBytes() || source.request(this.settings.maximumBodyBytes() + 1L)) {
			return new HttpResult.Failed(true, "body over " + this.settings.maximumBodyBytes() + " bytes");
		}
		return new HttpResult.Whole(response.code(), response.headers(), source.readByteArray());
	}

	private static boolean hasNoBody(Response response) {
		return response.code() == STATUS_NO_CONTENT || response.code() == STATUS_NOT_MODIFIED
				|| "HEAD".equals(response.request().method());
	}

	/**
	 * Ends all calls and closes all connections.
	 */
	@Override
	public void close() {
		this.client.dispatcher().cancelAll();
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

	/**
	 * Turns the end of one call into its result.
	 */
	private final class ResultCallback implements Callback {

		private final SentMark mark;

		private final AnswerCheck check;

		private final CompletableFuture<HttpResult> result;

		ResultCallback(SentMark mark, AnswerCheck check, CompletableFuture<HttpResult> result) {
			this.mark = mark;
			this.check = check;
			this.result = result;
		}

		@Override
		public void onFailure(Call call, IOException ex) {
			complete(new HttpResult.Failed(this.mark.isSent(), reasonOf(ex)));
		}

		@Override
		public void onResponse(Call call, Response response) {
			HttpResult outcome;
			try (response) {
				outcome = read(response, this.check);
				if (outcome instanceof HttpResult.Failed) {
					// The rest of this connection cannot be trusted, so it is not
					// reused.
					call.cancel();
				}
			}
			catch (IOException ex) {
				outcome = new HttpResult.Failed(true, reasonOf(ex));
			}
			catch (RuntimeException ex) {
				// A call without a result would keep its caller waiting forever.
				outcome = new HttpResult.Failed(true, "unreadable answer");
			}
			complete(outcome);
		}

		private void complete(HttpResult outcome) {
			HttpCalls.this.inFlight.decrementAndGet();
			this.result.complete(outcome);
		}

		private static String reasonOf(IOException ex) {
			if (ex instanceof InterruptedIOException) {
				return "timeout";
			}
			if (ex instanceof ProtocolException) {
				return "truncated or malformed answer";
			}
			if (ex instanceof ConnectException) {
				return "connection refused";
			}
			return "broken connection";
		}

	}

}
