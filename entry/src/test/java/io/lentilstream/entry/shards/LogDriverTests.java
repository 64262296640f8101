package io.lentilstream.entry.shards;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.entry.fakes.FakeStore;
import io.lentilstream.entry.fakes.ManualTimers;
import io.lentilstream.model.Epoch;
import io.lentilstream.model.ShardId;
import io.lentilstream.shards.log.ShardLog;
import io.lentilstream.shards.log.ShardLogSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against actions that run before their entries are durable or out of order.
 */
class LogDriverTests {

	private static final ShardId SHARD = new ShardId("zone", 0);

	private final ManualTimers timers = new ManualTimers();

	private final FakeStore store = new FakeStore();

	private final List<String> events = new ArrayList<>();

	private LogDriver newRecoveredDriver(long epoch) {
		LogDriver driver = new LogDriver(
				new ShardLog(ShardLogSettings.defaults(), SHARD, new Epoch(epoch), this.timers.now()), this.store,
				new Listener(), this.timers, Runnable::run, this.timers);
		driver.tick();
		this.timers.advance(Duration.ofSeconds(1));
		return driver;
	}

	@Test
	void runsActionsOnlyAfterTheirEntriesAreDurable() {
		LogDriver driver = newRecoveredDriver(1);
		this.store.setDown(true);
		driver.append(List.of(new byte[] { 1 }), () -> this.events.add("committed"));
		this.timers.advance(Duration.ofSeconds(5));
		assertThat(this.events).containsExactly("recovered 0");
		this.store.setDown(false);
		this.timers.advance(Duration.ofSeconds(5));
		assertThat(this.events).containsExactly("recovered 0", "committed");
		assertThat(driver.isIdle()).isTrue();
	}

	@Test
	void runsActionsOnceWhenTheReplyToTheWriteIsLost() {
		LogDriver driver = newRecoveredDriver(1);
		this.store.loseReplies(1);
		driver.append(List.of(new byte[] { 1 }), () -> this.events.add("committed"));
		this.timers.advance(Duration.ofSeconds(5));
		assertThat(this.events).containsExactly("recovered 0", "committed");
	}

	@Test
	void refusesNewWorkWhileAnEntryWaitsForTheStore() {
		LogDriver driver = newRecoveredDriver(1);
		this.store.setDown(true);
		driver.append(List.of(new byte[] { 1 }), () -> this.events.add("committed"));
		this.timers.advance(Duration.ofSeconds(2));
		assertThat(driver.acceptsNewWork()).isFalse();
		driver.tryAppend(List.of(new byte[] { 2 }), () -> this.events.add("wrong"), () -> this.events.add("refused"));
		assertThat(this.events).containsExactly("recovered 0", "refused");
	}

	@Test
	void splitsAStepLargerThanACommitAndPreservesTheOrder() {
		LogDriver driver = newRecoveredDriver(1);
		List<byte[]> entries = new ArrayList<>();
		for (int i = 0; i < 30; i++) {
			entries.add(new byte[20_000]);
		}
		driver.append(entries, () -> this.events.add("large"));
		driver.append(List.of(new byte[] { 1 }), () -> this.events.add("small"));
		this.timers.advance(Duration.ofSeconds(20));
		assertThat(this.events).containsExactly("recovered 0", "large", "small");
		newRecoveredDriver(2);
		assertThat(this.events).contains("recovered 31");
	}

	@Test
	void stopsWhenFencedByANewerOwner() {
		LogDriver old = newRecoveredDriver(1);
		newRecoveredDriver(2);
		old.append(List.of(new byte[] { 1 }), () -> this.events.add("wrong"));
		this.timers.advance(Duration.ofSeconds(5));
		assertThat(this.events).contains("fenced").doesNotContain("wrong");
		assertThat(old.acceptsNewWork()).isFalse();
	}

	@Test
	void writesASnapshotOnlyAfterTheEntriesThatItIncludesAreDurable() {
		LogDriver driver = newRecoveredDriver(1);
		for (int i = 0; i < 600; i++) {
			driver.append(List.of(new byte[4_000]), () -> this.events.add("entry"));
			this.timers.advance(Duration.ofSeconds(1));
		}
		assertThat(this.events).contains("snapshot");
		this.events.clear();
		newRecoveredDriver(2);
		assertThat(this.events.get(0)).startsWith("recovered").endsWith("with snapshot");
	}

	private final class Listener implements LogListener {

		@Override
		public void recovered(Optional<byte[]> snapshot, List<byte[]> entries) {
			LogDriverTests.this.events
				.add("recovered " + entries.size() + (snapshot.isPresent() ? " with snapshot" : ""));
		}

		@Override
		public byte[] snapshot() {
			LogDriverTests.this.events.add("snapshot");
			return new byte[100];
		}

		@Override
		public void fenced() {
			LogDriverTests.this.events.add("fenced");
		}

		@Override
		public void failed(String reason) {
			LogDriverTests.this.events.add("failed " + reason);
		}

	}

}
