package io.lentilstream.entry.records;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import io.lentilstream.clients.EndpointOutcome;
import io.lentilstream.clients.KeyOutcome;
import io.lentilstream.entry.fakes.FakeEndpoints;
import io.lentilstream.entry.fakes.FakeStore;
import io.lentilstream.entry.fakes.ManualTimers;
import io.lentilstream.entry.requests.ForwardOutcome;
import io.lentilstream.entry.requests.RequestDriver;
import io.lentilstream.entry.requests.RequestIds;
import io.lentilstream.model.EndpointId;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.IdempotencyKey;
import io.lentilstream.model.KindName;
import io.lentilstream.model.NotRunReason;
import io.lentilstream.model.RequestOutcome;
import io.lentilstream.model.ServiceName;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;
import io.lentilstream.model.VmId;
import io.lentilstream.requests.OwnedEndpoint;
import io.lentilstream.requests.RequestDefaults;
import io.lentilstream.requests.RequestScheduler;
import io.lentilstream.requests.ServiceKey;
import io.lentilstream.requests.ServicePolicy;
import io.lentilstream.requests.records.RecordKey;
import io.lentilstream.requests.records.RequestRecordSettings;
import io.lentilstream.requests.records.RequestRecords;
import io.lentilstream.shards.log.ShardLog;
import io.lentilstream.shards.log.ShardLogSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request with an idempotency key that runs twice, is lost or gets a
 * wrong outcome, in particular during a store outage, after a broken attempt or after a
 * change of owner.
 */
class RequestShardDriverTests {

	private static final ServiceKey SERVICE = new ServiceKey(new TeamId("t"), new ServiceName("s"));

	private static final KindName KIND = new KindName("payment");

	private static final RecordKey KEY = new RecordKey(new TeamId("t"), new IdempotencyKey("k"));

	private static final ShardId SHARD = new ShardId("region", 0);

	private static final long RETENTION_MILLIS = 600_000;

	private final ManualTimers timers = new ManualTimers();

	private final FakeStore store = new FakeStore();

	private final FakeEndpoints endpoints = FakeEndpoints.echoing();

	private RequestShardDriver newRecoveredDriver(long epoch) {
		RequestScheduler scheduler = new RequestScheduler(RequestDefaults.defaults(), () -> new Random(7));
		RequestDriver requests = new RequestDriver(scheduler, this.endpoints, (peer, attempt, request, content,
				deadline) -> CompletableFuture.completedFuture(new ForwardOutcome.NotSent("no peer")), this.timers);
		requests.perform(scheduler.updatePolicies(this.timers.now(),
				List.of(ServicePolicy.of(SERVICE, Urgency.URGENT, Duration.ofMillis(10)))));
		requests.perform(scheduler.updateEndpoints(this.timers.now(),
				List.of(new OwnedEndpoint(new EndpointId("e" + epoch), SERVICE, 2, 4, false, OptionalInt.of(0)))));
		this.timers.scheduleAtFixedRate(requests::tick, 10, 10, TimeUnit.MILLISECONDS);
		RequestShardDriver driver = new RequestShardDriver(SHARD,
				new RequestRecords(RequestRecordSettings.defaults(), SHARD, new Epoch(epoch)),
				new ShardLog(ShardLogSettings.defaults(), SHARD, new Epoch(epoch), this.timers.now()),
				new RequestShardDriver.Environment(this.store, this.endpoints, requests,
						(team, kind) -> Optional.of(new DeferrableKind(SERVICE, 1_000, RETENTION_MILLIS)),
						new RequestIds(new VmId("entry-" + epoch), epoch), this.timers, this.timers),
				Runnable::run);
		this.timers.advance(Duration.ofSeconds(1));
		return driver;
	}

	private RecordResponse offer(RequestShardDriver driver, String body) {
		CompletableFuture<RecordResponse> outcome = driver.offer(KEY, KIND, body.getBytes(), RETENTION_MILLIS);
		this.timers.advance(Duration.ofSeconds(3));
		return outcome.getNow(null);
	}

	@Test
	void recordsARequestRunsItOnceAndRetainsItsAnswer() {
		RequestShardDriver driver = newRecoveredDriver(1);
		assertThat(offer(driver, "pay")).isEqualTo(response(new RequestOutcome.Accepted(KEY.key())));
		assertThat(offer(driver, "pay"))
			.isEqualTo(response(new RequestOutcome.Answered(200, "text/plain", "pay".getBytes())));
		assertThat(driver.findOutcome(KEY).join())
			.isEqualTo(response(new RequestOutcome.Answered(200, "text/plain", "pay".getBytes())));
		assertThat(this.endpoints.sent()).hasSize(1);
	}

	@Test
	void reportsAConflictForTheSameKeyWithAnotherBody() {
		RequestShardDriver driver = newRecoveredDriver(1);
		offer(driver, "pay");
		assertThat(offer(driver, "pay more")).isInstanceOf(RecordResponse.Conflict.class);
		assertThat(this.endpoints.sent()).hasSize(1);
	}

	@Test
	void refusesNewKeysInAStoreOutageAndReturnsTheOutcomesOfKnownKeys() {
		RequestShardDriver driver = newRecoveredDriver(1);
		offer(driver, "pay");
		this.store.setDown(true);
		driver.offer(new RecordKey(KEY.team(), new IdempotencyKey("first")), KIND, new byte[0], RETENTION_MILLIS);
		this.timers.advance(Duration.ofSeconds(2));
		RecordResponse refused = driver
			.offer(new RecordKey(KEY.team(), new IdempotencyKey("second")), KIND, new byte[0], RETENTION_MILLIS)
			.getNow(null);
		assertThat(refused).isEqualTo(response(new RequestOutcome.NotRun(NotRunReason.STORE_UNAVAILABLE, 1_000)));
		assertThat(offer(driver, "pay"))
			.isEqualTo(response(new RequestOutcome.Answered(200, "text/plain", "pay".getBytes())));
		assertThat(this.endpoints.sent()).hasSize(1);
	}

	@Test
	void reportsUnknownIfTheShardIsLostBeforeTheEntryIsDurable() {
		RequestShardDriver driver = newRecoveredDriver(1);
		this.store.setDown(true);
		CompletableFuture<RecordResponse> outcome = driver.offer(KEY, KIND, new byte[0], RETENTION_MILLIS);
		driver.close();
		assertThat(((RecordResponse.Outcome) outcome.join()).outcome()).isInstanceOf(RequestOutcome.Unknown.class);
	}

	@Test
	void queriesTheEndpointAfterATakeoverInsteadOfRunningARequestAgain() {
		this.endpoints.setAnswers((request) -> null);
		RequestShardDriver first = newRecoveredDriver(1);
		offer(first, "pay");
		assertThat(this.endpoints.sent()).hasSize(1);
		this.endpoints.setKeyOutcome(new KeyOutcome.Ran(200, "text/plain", "paid".getBytes()));
		RequestShardDriver second = newRecoveredDriver(2);
		this.timers.advance(Duration.ofSeconds(5));
		assertThat(second.findOutcome(KEY).join())
			.isEqualTo(response(new RequestOutcome.Answered(200, "text/plain", "paid".getBytes())));
		assertThat(this.endpoints.sent()).hasSize(1);
	}

	@Test
	void sendsARequestAgainOnlyAfterTheEndpointSealedTheEarlierAttempt() {
		this.endpoints.setAnswers((request) -> new EndpointOutcome.Broken("cut"));
		this.endpoints.setKeyOutcome(new KeyOutcome.Running());
		RequestShardDriver driver = newRecoveredDriver(1);
		offer(driver, "pay");
		assertThat(this.endpoints.sent()).hasSize(1);
		this.endpoints.setKeyOutcome(new KeyOutcome.Unseen());
		this.endpoints.setAnswers((request) -> new EndpointOutcome.Answered(200, "text/plain", request.body()));
		this.timers.advance(Duration.ofSeconds(30));
		assertThat(driver.findOutcome(KEY).join())
			.isEqualTo(response(new RequestOutcome.Answered(200, "text/plain", "pay".getBytes())));
		assertThat(this.endpoints.sent()).hasSize(2);
	}

	private static RecordResponse response(RequestOutcome outcome) {
		return new RecordResponse.Outcome(outcome);
	}

}
