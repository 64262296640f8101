package io.lentilstream.clients.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import mockwebserver3.SocketEffect;
import okio.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.EndpointRequest;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreKey;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.model.AvailabilityZoneId;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.RequestId;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.VmId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against outcomes that are wrong on connections that break in raw ways, and
 * against requests that OkHttp repeats by itself.
 */
class HttpCallsTests {

	private static final EndpointId ENDPOINT = new EndpointId("e-1");

	private static final StoreKey KEY = new StoreKey("/a");

	private static final long PATIENT = 20_000;

	private static final long GUARD_SECONDS = 30;

	private final MockWebServer server = new MockWebServer();

	private HttpCalls calls = new HttpCalls(HttpClientSettings.DEFAULTS);

	@BeforeEach
	void start() throws IOException {
		this.server.start();
	}

	@AfterEach
	void close() {
		this.calls.close();
		this.server.close();
	}

	static Stream<Arguments> endings() {
		return Stream.of(ending("whole", "Answered", (response) -> response.body("abc")),
				ending("whole in chunks", "Answered", (response) -> response.chunkedBody("abcdef", 2)),
				ending("no content", "Answered", (response) -> response.code(204)),
				ending("closed at once", "Broken",
						(response) -> response.onResponseStart(new SocketEffect.CloseSocket())),
				ending("closed in a body of known length", "Broken",
						(response) -> response.body("abc")
							.setHeader("Content-Length", "4")
							.onResponseEnd(new SocketEffect.CloseSocket())),
				ending("closed before the last chunk", "Broken",
						(response) -> response.body(new Buffer().writeUtf8("3\r\nabc\r\n"))
							.removeHeader("Content-Length")
							.setHeader("Transfer-Encoding", "chunked")
							.onResponseEnd(new SocketEffect.CloseSocket())),
				ending("without length, ended by a close", "Broken",
						(response) -> response.body("abc")
							.removeHeader("Content-Length")
							.onResponseEnd(new SocketEffect.CloseSocket())),
				ending("no correlation id", "Broken",
						(response) -> response.body("abc").removeHeader(PlatformMessages.REQUEST_ID)),
				ending("two correlation ids", "Broken",
						(response) -> response.body("abc").addHeader(PlatformMessages.REQUEST_ID, "r-2")),
				ending("refusal of another request", "Broken",
						(response) -> response.code(503)
							.setHeader(PlatformMessages.REFUSED, "full")
							.setHeader(PlatformMessages.REQUEST_ID, "r-2")),
				ending("refusal with an unknown reason", "Broken",
						(response) -> response.code(503).setHeader(PlatformMessages.REFUSED, "tired")),
				ending("refusal header on a success", "Answered",
						(response) -> response.setHeader(PlatformMessages.REFUSED, "full")),
				ending("503 without refusal header", "Answered", (response) -> response.code(503)),
				ending("503 to be repeated at once", "Answered",
						(response) -> response.code(503).setHeader("Retry-After", "0")),
				ending("408", "Answered", (response) -> response.code(408)),
				ending("redirect", "Answered", (response) -> response.code(307).setHeader("Location", "/b")),
				ending("login required", "Answered",
						(response) -> response.code(401).setHeader("WWW-Authenticate", "Basic")));
	}

	private static Arguments ending(String name, String outcome, UnaryOperator<MockResponse.Builder> response) {
		return Arguments.of(name, outcome, response);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("endings")
	void sendsARequestOnceAndAcceptsOnlyItsWholeAnswer(String name, String outcome,
			UnaryOperator<MockResponse.Builder> response) {
		this.server
			.enqueue(response.apply(new MockResponse.Builder().setHeader(PlatformMessages.REQUEST_ID, "r-1")).build());
		assertThat(send("POST", "/a", Map.of(), PATIENT).getClass().getSimpleName()).isEqualTo(outcome);
		assertThat(this.server.getRequestCount()).isEqualTo(1);
	}

	@Test
	void reportsAStalledConnectionAsBroken() {
		this.server.enqueue(answer().build());
		this.server.enqueue(answer().onResponseStart(SocketEffect.Stall.INSTANCE).build());
		send("POST", "/a", Map.of(), PATIENT);
		assertThat(send("POST", "/a", Map.of(), 200)).isEqualTo(new EndpointOutcome.Broken("timeout"));
		assertThat(this.server.getRequestCount()).isEqualTo(2);
	}

	@Test
	void reportsAConnectionThatIsClosedInTheRequestBodyAsBroken() {
		// The server counts only requests that it read whole, so their number is left
		// open.
		this.server.enqueue(answer().onRequestBody(new SocketEffect.CloseSocket()).build());
		assertThat(send("POST", "/a", Map.of(), PATIENT)).isInstanceOf(EndpointOutcome.Broken.class);
	}

	@Test
	void sendsNoGetAgainOnAConnectionThatTheServerClosed() {
		this.server.enqueue(answer().onResponseEnd(SocketEffect.ShutdownConnection.INSTANCE).build());
		this.server.enqueue(answer().onResponseStart(new SocketEffect.CloseSocket()).build());
		this.server.enqueue(answer().build());
		assertThat(send("GET", "/a", Map.of(), PATIENT)).isInstanceOf(EndpointOutcome.Answered.class);
		assertThat(send("GET", "/a", Map.of(), PATIENT)).isInstanceOf(EndpointOutcome.Broken.class);
		assertThat(this.server.getRequestCount()).isLessThanOrEqualTo(2);
	}

	@Test
	void passesOnHeadersButNotThoseOfAConnection() throws InterruptedException {
		this.server.enqueue(answer().build());
		send("POST", "/a?b=c%2Fd",
				Map.of("traceparent", "00-1-2-01", "Connection", "close", "Content-Length", "9999",
						"lentilstream-request-id", "forged", "Expect", "100-continue", "Content-Type", "text/csv"),
				PATIENT);
		RecordedRequest request = this.server.takeRequest();
		assertThat(request.getTarget()).isEqualTo("/a?b=c%2Fd");
		assertThat(request.getHeaders().get("traceparent")).isEqualTo("00-1-2-01");
		assertThat(request.getHeaders().get("Content-Type")).isEqualTo("text/csv");
		assertThat(request.getHeaders().values(PlatformMessages.REQUEST_ID)).containsExactly("r-1");
		assertThat(request.getHeaders().get(PlatformMessages.TIMEOUT_MILLIS)).isEqualTo("20000");
		assertThat(request.getHeaders().get("Connection")).isEqualTo("Keep-Alive");
		assertThat(request.getHeaders().get("Expect")).isNull();
	}

	@Test
	void sendsNothingAfterTheDeadlineOrOverTheLimitOfCalls() {
		assertThat(send("POST", "/a", Map.of(), 0)).isEqualTo(new EndpointOutcome.NotSent("deadline passed"));
		this.calls.close();
		this.calls = new HttpCalls(HttpClientSettings.DEFAULTS.withMaximumCalls(1));
		this.server.enqueue(answer().onResponseStart(SocketEffect.Stall.INSTANCE).build());
		CompletableFuture<EndpointOutcome> first = endpoints().send(ENDPOINT, request("POST", "/a", Map.of(), PATIENT));
		assertThat(send("POST", "/a", Map.of(), PATIENT))
			.isEqualTo(new EndpointOutcome.NotSent("too many calls in flight"));
		this.calls.close();
		assertThat(get(first)).isNotNull();
		assertThat(send("POST", "/a", Map.of(), PATIENT)).isInstanceOf(EndpointOutcome.NotSent.class);
	}

	@Test
	void reportsARequestThatCannotBeBuiltAsNotSent() {
		assertThat(send("POST", "/a", Map.of("x", "line\nbreak"), PATIENT))
			.isEqualTo(new EndpointOutcome.NotSent("invalid request"));
		assertThat(this.server.getRequestCount()).isZero();
	}

	@Test
	void refusesABodyOverTheLimitOfUnknownLength() {
		this.calls.close();
		this.calls = new HttpCalls(HttpClientSettings.DEFAULTS.withMaximumBodyBytes(10));
		this.server.enqueue(answer().chunkedBody("12345678901", 3).build());
		this.server.enqueue(answer().chunkedBody("1234567890", 3).build());
		assertThat(send("POST", "/a", Map.of(), PATIENT)).isEqualTo(new EndpointOutcome.Broken("body over 10 bytes"));
		assertThat(send("POST", "/a", Map.of(), PATIENT)).isInstanceOf(EndpointOutcome.Answered.class);
	}

	static Stream<Arguments> storeAnswers() {
		return Stream.of(Arguments.of(200, "{\"version\":7}", "Written"), Arguments.of(200, "{}", "ReplyLost"),
				Arguments.of(200, "{\"version\":null}", "ReplyLost"), Arguments.of(200, "<html>", "ReplyLost"),
				Arguments.of(200, "{\"version\":7} {}", "ReplyLost"), Arguments.of(409, "{}", "ReplyLost"),
				Arguments.of(409, "{\"current\":null}", "Conflict"),
				Arguments.of(409, "{\"current\":{\"key\":\"/other\",\"value\":\"\",\"version\":1}}", "ReplyLost"),
				Arguments.of(503, "{\"applied\":false,\"reason\":\"full\"}", "NotWritten"),
				Arguments.of(503, "{\"applied\":true}", "ReplyLost"), Arguments.of(503, "{}", "ReplyLost"),
				Arguments.of(503, "Service Unavailable", "ReplyLost"), Arguments.of(404, "Not Found", "ReplyLost"));
	}

	@ParameterizedTest
	@MethodSource("storeAnswers")
	void concludesNothingFromAnAnswerThatIsNotTheStores(int status, String body, String outcome) {
		this.server.enqueue(new MockResponse.Builder().code(status).body(body).build());
		assertThat(get(store().write(StoreWrite.put(KEY, new byte[1], 0))).getClass().getSimpleName())
			.isEqualTo(outcome);
		assertThat(this.server.getRequestCount()).isEqualTo(1);
	}

	@Test
	void concludesNothingFromMalformedAnswersOfOtherParts() {
		for (int i = 0; i < 4; i++) {
			this.server.enqueue(new MockResponse.Builder().body("{}").build());
		}
		assertThat(get(store().read(KEY))).isInstanceOf(ReadOutcome.Unavailable.class);
		HttpWorkerClient workers = new HttpWorkerClient(this.calls, (vm) -> url(), () -> 0);
		assertThat(get(workers.renew(new VmId("w-1"), new ShardId("z", 0), new Epoch(1), Duration.ofSeconds(1))))
			.isInstanceOf(WorkerOutcome.NoReply.class);
		assertThat(get(endpoints().lookUp(ENDPOINT, new IdempotencyKey("k")))).isInstanceOf(KeyOutcome.NoReply.class);
		assertThat(get(new HttpVmDirectory(this.calls, url()).list(new AvailabilityZoneId("z")))).isEmpty();
	}

	@Test
	void reportsARefusedConnectionAsNotWritten() {
		HttpStoreClient store = store();
		this.server.close();
		assertThat(get(store.write(StoreWrite.put(KEY, new byte[1], 0))))
			.isEqualTo(new WriteOutcome.NotWritten("connection refused"));
	}

	private static MockResponse.Builder answer() {
		return new MockResponse.Builder().setHeader(PlatformMessages.REQUEST_ID, "r-1").body("abc");
	}

	private EndpointOutcome send(String method, String path, Map<String, String> headers, long timeoutMillis) {
		return get(endpoints().send(ENDPOINT, request(method, path, headers, timeoutMillis)));
	}

	private static EndpointRequest request(String method, String path, Map<String, String> headers,
			long timeoutMillis) {
		byte[] body = new byte[method.equals("GET") ? 0 : 3];
		return new EndpointRequest(new RequestId("r-1"), Optional.empty(), method, path, headers, body, timeoutMillis);
	}

	private HttpEndpointClient endpoints() {
		return new HttpEndpointClient(this.calls, (endpoint) -> url());
	}

	private HttpStoreClient store() {
		return new HttpStoreClient(this.calls, url(), "vm-1", new StoreCallMeter());
	}

	private String url() {
		return this.server.url("/").toString();
	}

	private static <T> T get(CompletableFuture<T> future) {
		try {
			return future.get(GUARD_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException | ExecutionException | TimeoutException ex) {
			throw new AssertionError("no outcome", ex);
		}
	}

}
