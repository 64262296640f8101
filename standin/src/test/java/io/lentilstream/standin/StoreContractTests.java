package io.lentilstream.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

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
import io.lentilstream.clients.http.HttpStoreClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a store outcome that claims more or less than what took effect.
 */
class StoreContractTests {

	private static final StoreKey KEY = new StoreKey("/teams/bakery");

	private static final Duration TTL = Duration.ofSeconds(10);

	private final StandinFixture fixture = new StandinFixture();

	private final StoreClient store = this.fixture.store("vm-1");

	@AfterEach
	void close() {
		this.fixture.close();
	}

	@Test
	void readsWhatWasWrittenAndKeepsVersionsGrowingOverADeletion() {
		assertThat(read()).isEmpty();
		long first = written(StoreWrite.put(KEY, StandinFixture.bytes("a"), StoreWrite.ABSENT));
		long second = written(StoreWrite.put(KEY, StandinFixture.bytes("b"), first));
		assertThat(read()).hasValueSatisfying((value) -> {
			assertThat(value.value()).isEqualTo(StandinFixture.bytes("b"));
			assertThat(value.version()).isEqualTo(second);
		});
		long deletion = written(new StoreWrite(KEY, Optional.empty(), second, Optional.empty()));
		assertThat(read()).isEmpty();
		long third = written(StoreWrite.put(KEY, StandinFixture.bytes("c"), StoreWrite.ABSENT));
		assertThat(new long[] { first, second, deletion, third }).isSorted().doesNotHaveDuplicates();
	}

	@Test
	void showsTheAcceptedValueToTheLoserOfAConflict() {
		written(StoreWrite.put(KEY, StandinFixture.bytes("a"), StoreWrite.ABSENT));
		assertThat(write(StoreWrite.put(KEY, StandinFixture.bytes("b"), StoreWrite.ABSENT)))
			.isInstanceOfSatisfying(WriteOutcome.Conflict.class, (conflict) -> assertThat(conflict.current())
				.hasValueSatisfying((value) -> assertThat(value.value()).isEqualTo(StandinFixture.bytes("a"))));
		assertThat(write(StoreWrite.put(new StoreKey("/absent"), StandinFixture.bytes("b"), 7)))
			.isEqualTo(new WriteOutcome.Conflict(Optional.empty()));
	}

	@Test
	void listsKeysBelowAPrefixInOrder() {
		for (String name : new String[] { "/teams/b", "/teams/a", "/platform", "/teams0" }) {
			written(StoreWrite.put(new StoreKey(name), StandinFixture.bytes(name), StoreWrite.ABSENT));
		}
		ListOutcome.Listed listed = (ListOutcome.Listed) StandinFixture.get(this.store.list(new StoreKey("/teams/")));
		assertThat(listed.values()).extracting((value) -> value.key().path()).containsExactly("/teams/a", "/teams/b");
		assertThat(listed.revision()).isEqualTo(4);
	}

	@Test
	void refusesValuesOverTheLimitOnBothSides() {
		byte[] large = new byte[StoreClient.MAX_VALUE_BYTES + 1];
		assertThat(write(StoreWrite.put(KEY, large, StoreWrite.ABSENT))).isInstanceOf(WriteOutcome.NotWritten.class);
		assertThat(this.fixture.meter.writes()).isZero();
		written(StoreWrite.put(KEY, new byte[StoreClient.MAX_VALUE_BYTES], StoreWrite.ABSENT));
	}

	@Test
	void deletesTheKeysOfALapsedLeaseAndRefusesItsRenewal() {
		LeaseId lease = grant();
		written(new StoreWrite(KEY, Optional.of(StandinFixture.bytes("owner")), StoreWrite.ABSENT, Optional.of(lease)));
		this.fixture.pass(TTL.minusMillis(1));
		assertThat(StandinFixture.get(this.store.renewLease(lease))).isEqualTo(new LeaseOutcome.Granted(lease));
		this.fixture.pass(TTL.minusMillis(1));
		assertThat(read()).isPresent();
		this.fixture.pass(Duration.ofMillis(1));
		assertThat(read()).isEmpty();
		assertThat(StandinFixture.get(this.store.renewLease(lease))).isEqualTo(new LeaseOutcome.Lapsed());
		assertThat(write(
				new StoreWrite(KEY, Optional.of(StandinFixture.bytes("x")), StoreWrite.ABSENT, Optional.of(lease))))
			.isEqualTo(new WriteOutcome.NotWritten("lease lapsed"));
	}

	@Test
	void deletesTheKeysOfARevokedLeaseAndTellsWatchers() {
		LeaseId lease = grant();
		long version = written(
				new StoreWrite(KEY, Optional.of(StandinFixture.bytes("x")), StoreWrite.ABSENT, Optional.of(lease)));
		CompletableFuture<WatchOutcome> watch = watch(version);
		assertThat(StandinFixture.get(this.store.revokeLease(lease))).isEqualTo(new LeaseOutcome.Granted(lease));
		assertThat(((WatchOutcome.Changes) StandinFixture.get(watch)).deleted()).containsExactly(KEY);
		assertThat(StandinFixture.get(this.store.revokeLease(lease))).isEqualTo(new LeaseOutcome.Lapsed());
	}

	static Stream<Arguments> faults() {
		Consumer<StoreFaults> none = (faults) -> {
		};
		return Stream.of(fault("refusing outage", (faults) -> faults.startOutage(OutageMode.REFUSES), "NotWritten", 0),
				fault("closing outage", (faults) -> faults.startOutage(OutageMode.CLOSES), "ReplyLost", 0),
				fault("partition", (faults) -> faults.partition("vm-1", OutageMode.CLOSES), "ReplyLost", 0),
				fault("other client's partition", (faults) -> faults.partition("vm-2", OutageMode.CLOSES), "Written",
						1),
				fault("lost reply", (faults) -> faults.loseReplies(1), "ReplyLost", 1),
				fault("none", none, "Written", 1));
	}

	private static Arguments fault(String name, Consumer<StoreFaults> fault, String outcome, int applied) {
		return Arguments.of(name, fault, outcome, applied);
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("faults")
	void statesExactlyWhatIsKnownAboutAWrite(String name, Consumer<StoreFaults> fault, String outcome, int applied) {
		fault.accept(this.fixture.platform.faults().store());
		assertThat(write(StoreWrite.put(KEY, StandinFixture.bytes("a"), StoreWrite.ABSENT)).getClass().getSimpleName())
			.isEqualTo(outcome);
		assertThat(this.fixture.platform.storeContents()).hasSize(applied);
	}

	@Test
	void reportsAWriteToAHangingStoreAsLost() {
		HttpStoreClient impatient = this.fixture.impatientStore();
		this.fixture.platform.faults().store().startOutage(OutageMode.HANGS);
		assertThat(
				StandinFixture.get(impatient.write(StoreWrite.put(KEY, StandinFixture.bytes("a"), StoreWrite.ABSENT))))
			.isEqualTo(new WriteOutcome.ReplyLost("timeout"));
		assertThat(this.fixture.platform.storeContents()).isEmpty();
	}

	@Test
	void appliesAWriteOfASlowStoreAfterItsClientGaveUp() {
		this.fixture.platform.faults().store().delay(Duration.ofSeconds(1));
		assertThat(StandinFixture.get(
				this.fixture.impatientStore().write(StoreWrite.put(KEY, StandinFixture.bytes("a"), StoreWrite.ABSENT))))
			.isInstanceOf(WriteOutcome.ReplyLost.class);
		this.fixture.pass(Duration.ofSeconds(1));
		Awaitility.await().until(() -> this.fixture.platform.storeContents().containsKey(KEY.path()));
	}

	static Stream<Arguments> calls() {
		BiFunction<StoreClient, LeaseId, CompletableFuture<?>> read = (store, lease) -> store.read(KEY);
		BiFunction<StoreClient, LeaseId, CompletableFuture<?>> list = (store, lease) -> store.list(KEY);
		BiFunction<StoreClient, LeaseId, CompletableFuture<?>> grant = (store, lease) -> store.grantLease(TTL);
		BiFunction<StoreClient, LeaseId, CompletableFuture<?>> renew = (store, lease) -> store.renewLease(lease);
		BiFunction<StoreClient, LeaseId, CompletableFuture<?>> revoke = (store, lease) -> store.revokeLease(lease);
		BiFunction<StoreClient, LeaseId, CompletableFuture<?>> watch = (store, lease) -> store.watch(KEY, 0, TTL);
		return Stream.of(Arguments.of("read", read), Arguments.of("list", list), Arguments.of("grant", grant),
				Arguments.of("renew", renew), Arguments.of("revoke", revoke), Arguments.of("watch", watch));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("calls")
	void reportsEveryCallDuringAnOutageAsUnavailable(String name,
			BiFunction<StoreClient, LeaseId, CompletableFuture<?>> call) {
		LeaseId lease = grant();
		for (OutageMode mode : new OutageMode[] { OutageMode.REFUSES, OutageMode.CLOSES }) {
			this.fixture.platform.faults().store().startOutage(mode);
			assertThat(StandinFixture.get(call.apply(this.store, lease)).getClass().getSimpleName())
				.isEqualTo("Unavailable");
		}
		this.fixture.platform.faults().store().endOutage();
		assertThat(StandinFixture.get(this.store.renewLease(lease))).isInstanceOf(LeaseOutcome.Granted.class);
	}

	@Test
	void answersAWaitingWatchWithTheNextChangeBelowItsPrefix() {
		CompletableFuture<WatchOutcome> watch = watch(0);
		written(StoreWrite.put(new StoreKey("/platform"), StandinFixture.bytes("other"), StoreWrite.ABSENT));
		assertThat(watch).isNotDone();
		long version = written(StoreWrite.put(KEY, StandinFixture.bytes("a"), StoreWrite.ABSENT));
		WatchOutcome.Changes changes = (WatchOutcome.Changes) StandinFixture.get(watch);
		assertThat(changes.changed()).extracting(StoredValue::version).containsExactly(version);
		assertThat(changes.revision()).isEqualTo(version);
	}

	static Stream<Arguments> watchEnds() {
		Consumer<StandinFixture> wait = (fixture) -> fixture.pass(TTL);
		Consumer<StandinFixture> end = (fixture) -> fixture.platform.faults().store().endWatches();
		Consumer<StandinFixture> outage = (
				fixture) -> fixture.platform.faults().store().startOutage(OutageMode.REFUSES);
		return Stream.of(Arguments.of("wait ends", wait, "Changes"), Arguments.of("store ends it", end, "Changes"),
				Arguments.of("outage begins", outage, "Unavailable"));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("watchEnds")
	void endsAWaitingWatchWithoutChanges(String name, Consumer<StandinFixture> event, String outcome) {
		CompletableFuture<WatchOutcome> watch = watch(0);
		event.accept(this.fixture);
		WatchOutcome result = StandinFixture.get(watch);
		assertThat(result.getClass().getSimpleName()).isEqualTo(outcome);
		if (result instanceof WatchOutcome.Changes changes) {
			assertThat(changes.changed()).isEmpty();
		}
	}

	@Test
	void passesOverAHiddenChangeThatOnlyAListShows() {
		this.fixture.platform.faults().store().hideChanges(1);
		CompletableFuture<WatchOutcome> watch = watch(0);
		written(StoreWrite.put(KEY, StandinFixture.bytes("a"), StoreWrite.ABSENT));
		this.fixture.platform.faults().store().endWatches();
		assertThat(StandinFixture.get(watch)).isInstanceOfSatisfying(WatchOutcome.Changes.class, (changes) -> {
			assertThat(changes.changed()).isEmpty();
			assertThat(changes.revision()).isEqualTo(1);
		});
		assertThat(((ListOutcome.Listed) StandinFixture.get(this.store.list(KEY))).values()).hasSize(1);
	}

	@Test
	void sendsAWatcherBackToTheListAfterACompaction() {
		written(StoreWrite.put(KEY, StandinFixture.bytes("a"), StoreWrite.ABSENT));
		this.fixture.platform.faults().store().compact();
		assertThat(StandinFixture.get(this.store.watch(KEY, 0, TTL))).isEqualTo(new WatchOutcome.Compacted());
	}

	@Test
	void countsCallsByKindOnBothSides() {
		read();
		StandinFixture.get(this.store.list(KEY));
		written(StoreWrite.put(KEY, StandinFixture.bytes("a"), StoreWrite.ABSENT));
		grant();
		StandinFixture.get(this.store.watch(KEY, 0, TTL));
		StoreCallCounts expected = new StoreCallCounts(2, 2, 1);
		assertThat(this.fixture.platform.storeCallsOf("vm-1")).isEqualTo(expected);
		assertThat(this.fixture.platform.records().storeCalls()).isEqualTo(expected);
		assertThat(new StoreCallCounts(this.fixture.meter.reads(), this.fixture.meter.writes(),
				this.fixture.meter.watches()))
			.isEqualTo(expected);
	}

	private Optional<StoredValue> read() {
		return ((ReadOutcome.Read) StandinFixture.get(this.store.read(KEY))).value();
	}

	private WriteOutcome write(StoreWrite write) {
		return StandinFixture.get(this.store.write(write));
	}

	private long written(StoreWrite write) {
		return ((WriteOutcome.Written) write(write)).version();
	}

	private LeaseId grant() {
		return ((LeaseOutcome.Granted) StandinFixture.get(this.store.grantLease(TTL))).lease();
	}

	private CompletableFuture<WatchOutcome> watch(long after) {
		CompletableFuture<WatchOutcome> watch = this.store.watch(KEY, after, TTL);
		Awaitility.await().until(() -> this.fixture.platform.waitingWatches() == 1);
		return watch;
	}

	// With few event loops, some of these watches wait on the loop that handles the
	// write.
	@Test
	void answersEveryWaitingWatchWhateverConnectionTheWriteComesFrom() {
		StoreClient client = this.fixture.store("watcher");
		List<CompletableFuture<WatchOutcome>> watches = new ArrayList<>();
		for (int i = 0; i < 16; i++) {
			watches.add(client.watch(new StoreKey("/watched"), 0, Duration.ofHours(1)));
		}
		Awaitility.await().until(() -> this.fixture.platform.waitingWatches() == 16);
		StandinFixture
			.get(client.write(StoreWrite.put(new StoreKey("/watched/a"), new byte[] { 1 }, StoreWrite.ABSENT)));
		assertThat(watches)
			.allSatisfy((watch) -> assertThat(StandinFixture.get(watch)).isInstanceOf(WatchOutcome.Changes.class));
	}

}
