package io.lentilstream.standin;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.clients.EndpointClient;
import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.EndpointRequest;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.clients.VmEntry;
import io.lentilstream.clients.http.HttpEndpointClient;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.RequestId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an answer that is not the caller's own whole answer, and against a "not
 * run" or "not sent" for a request that ran.
 */
class EndpointContractTests {

	private static final IdempotencyKey KEY = new IdempotencyKey("payment-1");

	private static final long PATIENT = 20_000;

	private final StandinFixture fixture = new StandinFixture();

	private final EndpointClient endpoints = this.fixture.endpoints();

	private final EndpointFaults faults = this.fixture.platform.faults().endpoint(StandinFixture.ENDPOINT);

	@AfterEach
	void close() {
		this.fixture.close();
	}

	@ParameterizedTest
	@CsvSource({ "NONE, Answered, 1", "CLOSES_ON_ARRIVAL, Broken, 0", "CLOSES_BEFORE_HEADERS, Broken, 1",
			"CLOSES_IN_BODY, Broken, 1", "CLOSES_IN_CHUNKS, Broken, 1", "ANSWERS_TWICE, Answered, 1",
			"ANSWERS_OTHER_REQUEST, Broken, 1", "REFUSES, Refused, 0", "REFUSES_AS_LEAVING, Refused, 0" })
	void statesExactlyWhatIsKnownAboutARequest(EndpointFault fault, String outcome, int runs) {
		this.faults.next(fault, 1);
		EndpointOutcome result = send("r-1", Map.of("Standin-Service-Ms", "0"));
		assertThat(result.getClass().getSimpleName()).isEqualTo(outcome);
		assertThat(this.fixture.endpointRecord().runs()).isEqualTo(runs);
		if (result instanceof EndpointOutcome.Refused refused) {
			assertThat(refused.leaving()).isEqualTo(fault == EndpointFault.REFUSES_AS_LEAVING);
		}
	}

	@ParameterizedTest
	@CsvSource({ "ANSWERS_TWICE", "ANSWERS_OTHER_REQUEST", "CLOSES_IN_BODY", "CLOSES_BEFORE_HEADERS" })
	void givesEachLaterRequestItsOwnAnswerAfterAFault(EndpointFault fault) {
		this.faults.next(fault, 3);
		for (int i = 0; i < 20; i++) {
			String id = "r-" + i;
			if (send(id, Map.of("Standin-Service-Ms", "0")) instanceof EndpointOutcome.Answered answered) {
				assertThat(answered.body()).isEqualTo(StandinFixture.bytes("body of " + id));
			}
		}
		assertThat(send("last", Map.of("Standin-Service-Ms", "0"))).isInstanceOfSatisfying(
				EndpointOutcome.Answered.class,
				(answered) -> assertThat(answered.body()).isEqualTo(StandinFixture.bytes("body of last")));
	}

	@ParameterizedTest
	@CsvSource({ "HANGS", "ANSWERS_LATE" })
	void reportsARequestWithoutAnAnswerInTimeAsBroken(EndpointFault fault) {
		send("r-0", Map.of("Standin-Service-Ms", "0"));
		this.faults.answerLate(Duration.ofHours(1));
		this.faults.next(fault, 1);
		EndpointRequest request = request("r-1", Optional.empty(), Map.of("Standin-Service-Ms", "0"), 200);
		assertThat(StandinFixture.get(this.endpoints.send(StandinFixture.ENDPOINT, request)))
			.isEqualTo(new EndpointOutcome.Broken("timeout"));
		this.fixture.awaitRuns(2);
		this.fixture.pass(Duration.ofHours(1));
		assertThat(send("r-2", Map.of("Standin-Service-Ms", "0"))).isInstanceOf(EndpointOutcome.Answered.class);
	}

	@Test
	void reportsAnEndpointThatDoesNotListenAsNotSent() {
		String url = this.fixture.platform.endpointUrl(StandinFixture.ENDPOINT);
		this.fixture.platform.stop();
		HttpEndpointClient client = new HttpEndpointClient(this.fixture.calls, (endpoint) -> url);
		assertThat(StandinFixture
			.get(client.send(StandinFixture.ENDPOINT, request("r-1", Optional.empty(), Map.of(), PATIENT))))
			.isEqualTo(new EndpointOutcome.NotSent("connection refused"));
		HttpEndpointClient unknown = new HttpEndpointClient(this.fixture.calls, (endpoint) -> null);
		assertThat(StandinFixture
			.get(unknown.send(StandinFixture.ENDPOINT, request("r-1", Optional.empty(), Map.of(), PATIENT))))
			.isEqualTo(new EndpointOutcome.NotSent("unknown address"));
	}

	@Test
	void refusesRequestsBeyondItsSlotsAndConnections() {
		CompletableFuture<EndpointOutcome> first = sendAsync("r-1");
		CompletableFuture<EndpointOutcome> second = sendAsync("r-2");
		this.fixture.awaitRuns(2);
		assertThat(StandinFixture.get(this.endpoints.inFlight(StandinFixture.ENDPOINT))).isEqualTo(OptionalInt.of(2));
		assertThat(send("r-3", Map.of())).isEqualTo(new EndpointOutcome.Refused(false));
		this.fixture.pass(Duration.ofMillis(50));
		assertThat(StandinFixture.get(first)).isInstanceOf(EndpointOutcome.Answered.class);
		assertThat(StandinFixture.get(second)).isInstanceOf(EndpointOutcome.Answered.class);
		assertThat(this.fixture.endpointRecord()).isEqualTo(new EndpointRecord(2, 1, 2, 2, Optional.empty()));
		this.faults.answerLate(Duration.ofHours(1));
		for (int i = 0; i < 3; i++) {
			sendAsync("late-" + i, Map.of("Standin-Service-Ms", "0"));
			this.fixture.awaitRuns(3 + i);
			// The slot is free again once the request ran; its answer stays open.
			Awaitility.await()
				.until(() -> StandinFixture.get(this.endpoints.inFlight(StandinFixture.ENDPOINT))
					.equals(OptionalInt.of(0)));
		}
		assertThat(send("r-4", Map.of())).isEqualTo(new EndpointOutcome.Refused(false));
	}

	@Test
	void slowsDownByAFactor() {
		this.faults.slow(5);
		CompletableFuture<EndpointOutcome> slow = sendAsync("r-1");
		this.fixture.awaitRuns(1);
		this.fixture.pass(Duration.ofMillis(249));
		assertThat(StandinFixture.get(this.endpoints.inFlight(StandinFixture.ENDPOINT))).hasValue(1);
		this.fixture.pass(Duration.ofMillis(1));
		assertThat(StandinFixture.get(slow)).isInstanceOf(EndpointOutcome.Answered.class);
	}

	@Test
	void recordsWorkAfterItsMarkAsLeavingAndListsItAfterTheLag() {
		this.faults.leave(false);
		this.fixture.pass(Duration.ofSeconds(1));
		send("r-1", Map.of("Standin-Service-Ms", "0"));
		assertThat(this.fixture.endpointRecord().lastWorkAfterLeaving()).hasValue(Duration.ofSeconds(1));
		assertThat(statusInList()).isEqualTo(VmEntry.Status.LIVE);
		this.fixture.pass(Duration.ofSeconds(1));
		assertThat(statusInList()).isEqualTo(VmEntry.Status.LEAVING);
		this.faults.leave(true);
		assertThat(send("r-2", Map.of())).isEqualTo(new EndpointOutcome.Refused(true));
	}

	private VmEntry.Status statusInList() {
		return StandinFixture.get(this.fixture.directory().list(StandinFixture.ZONE))
			.orElseThrow()
			.stream()
			.filter((entry) -> entry.vm().value().equals(StandinFixture.ENDPOINT.value()))
			.findFirst()
			.orElseThrow()
			.status();
	}

	@Test
	void keepsTheOutcomeOfAKeyWhoseAnswerWasLost() {
		assertThat(StandinFixture.get(this.endpoints.lookUp(StandinFixture.ENDPOINT, KEY)))
			.isEqualTo(new KeyOutcome.Unseen());
		this.faults.next(EndpointFault.CLOSES_BEFORE_HEADERS, 1);
		CompletableFuture<EndpointOutcome> sent = this.endpoints.send(StandinFixture.ENDPOINT,
				request("a-1", Optional.of(KEY), Map.of(), PATIENT));
		this.fixture.awaitRuns(1);
		assertThat(StandinFixture.get(this.endpoints.lookUp(StandinFixture.ENDPOINT, KEY)))
			.isEqualTo(new KeyOutcome.Running());
		assertThat(seal("a-1")).isEqualTo(new KeyOutcome.Running());
		this.fixture.pass(Duration.ofMillis(50));
		assertThat(StandinFixture.get(sent)).isInstanceOf(EndpointOutcome.Broken.class);
		assertThat(seal("a-1")).isInstanceOfSatisfying(KeyOutcome.Ran.class,
				(ran) -> assertThat(ran.body()).isEqualTo(StandinFixture.bytes("body of a-1")));
		assertThat(StandinFixture.get(this.endpoints.lookUp(StandinFixture.ENDPOINT, KEY)))
			.isInstanceOf(KeyOutcome.Ran.class);
	}

	@Test
	void refusesOnlyTheSealedAttemptOfAKey() {
		assertThat(seal("a-1")).isEqualTo(new KeyOutcome.Sealed());
		assertThat(StandinFixture.get(this.endpoints.lookUp(StandinFixture.ENDPOINT, KEY)))
			.isEqualTo(new KeyOutcome.Sealed());
		assertThat(sendKey("a-1")).isEqualTo(new EndpointOutcome.Refused(false));
		assertThat(sendKey("a-2")).isInstanceOf(EndpointOutcome.Answered.class);
		assertThat(this.fixture.platform.records().repeatedKeys()).isEmpty();
		assertThat(sendKey("a-3")).isInstanceOf(EndpointOutcome.Answered.class);
		assertThat(this.fixture.platform.records().repeatedKeys()).containsExactly(KEY.value());
	}

	@Test
	void reportsAMissingReplyAboutAKey() {
		HttpEndpointClient lost = new HttpEndpointClient(this.fixture.calls,
				(endpoint) -> this.fixture.platform.baseUrl() + "/endpoints/unknown");
		EndpointId unknown = new EndpointId("unknown");
		assertThat(StandinFixture.get(lost.lookUp(unknown, KEY))).isInstanceOf(KeyOutcome.NoReply.class);
		assertThat(StandinFixture.get(lost.seal(unknown, KEY, new RequestId("a-1"))))
			.isInstanceOf(KeyOutcome.NoReply.class);
		assertThat(StandinFixture.get(lost.inFlight(unknown))).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "relative", "@10.0.0.1/x", "/../endpoint-2/x", "/%2e%2e/endpoint-2/x" })
	void sendsNothingForAPathThatLeavesTheEndpoint(String path) {
		EndpointRequest request = new EndpointRequest(new RequestId("r-1"), Optional.empty(), "GET", path, Map.of(),
				new byte[0], PATIENT);
		assertThat(StandinFixture.get(this.endpoints.send(StandinFixture.ENDPOINT, request)))
			.isEqualTo(new EndpointOutcome.NotSent("invalid request"));
	}

	@Test
	void carriesLargeBodiesWhole() {
		EndpointOutcome outcome = send("r-1",
				Map.of("Standin-Service-Ms", "0", "Standin-Answer-Bytes", "5000000", "Accept-Encoding", "gzip"));
		assertThat(outcome).isInstanceOfSatisfying(EndpointOutcome.Answered.class,
				(answered) -> assertThat(answered.body()).hasSize(5_000_000));
		assertThat(send("r-2", Map.of("Standin-Service-Ms", "0", "Standin-Answer-Bytes", "9000000")))
			.isEqualTo(new EndpointOutcome.Broken("body over 8000000 bytes"));
	}

	private KeyOutcome seal(String attempt) {
		return StandinFixture.get(this.endpoints.seal(StandinFixture.ENDPOINT, KEY, new RequestId(attempt)));
	}

	private EndpointOutcome sendKey(String attempt) {
		return StandinFixture.get(this.endpoints.send(StandinFixture.ENDPOINT,
				request(attempt, Optional.of(KEY), Map.of("Standin-Service-Ms", "0"), PATIENT)));
	}

	private EndpointOutcome send(String id, Map<String, String> headers) {
		return StandinFixture.get(sendAsync(id, headers));
	}

	private CompletableFuture<EndpointOutcome> sendAsync(String id) {
		return sendAsync(id, Map.of());
	}

	private CompletableFuture<EndpointOutcome> sendAsync(String id, Map<String, String> headers) {
		return this.endpoints.send(StandinFixture.ENDPOINT, request(id, Optional.empty(), headers, PATIENT));
	}

	private static EndpointRequest request(String id, Optional<IdempotencyKey> key, Map<String, String> headers,
			long timeoutMillis) {
		return new EndpointRequest(new RequestId(id), key, "POST", "/pickups?x=1", headers,
				StandinFixture.bytes("body of " + id), timeoutMillis);
	}

}
