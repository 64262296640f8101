package io.lentilstream.shards.log;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.shards.FakeStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost or duplicated entries, commits of a fenced owner and overwritten
 * slots that no snapshot covers.
 */
class ShardLogTests {

	static final ShardLogSettings SMALL = new ShardLogSettings(8, 2, Duration.ofMillis(20), 1000, 1000,
			Duration.ofMillis(100), 200, 400, 16);

	private final FakeStore store = new FakeStore();

	private LogHarness owner(long epoch) {
		return new LogHarness(this.store, SMALL, epoch).recover();
	}

	@Test
	void writesAppendsThatAreQueuedDuringACommitAsOneRecord() {
		LogHarness log = owner(1);
		long before = log.writes;
		log.append("a", "b", "c", "d");
		log.runUntilIdle();
		assertThat(log.committed).containsExactly("a", "b", "c", "d");
		assertThat(log.writes - before).isEqualTo(2);
		assertThat(owner(2).recoveredEntries()).containsExactly("a", "b", "c", "d");
	}

	@Test
	void recoversAnAppendWrittenBetweenTheListAndTheMarker() {
		LogHarness earlier = owner(1);
		earlier.append("a");
		LogHarness later = new LogHarness(this.store, SMALL, 2);
		later.perform(later.log.tick(later.now));
		later.performNextCall();
		earlier.runUntilIdle();
		later.runUntilIdle();
		assertThat(earlier.committed).containsExactly("a");
		assertThat(later.recoveredEntries()).containsExactly("a");
	}

	@Test
	void fencesAnAppendOfAnEarlierOwnerAfterTheMarker() {
		LogHarness earlier = owner(1);
		owner(2);
		earlier.append("a");
		earlier.runUntilIdle();
		assertThat(earlier.committed).isEmpty();
		assertThat(earlier.events).contains(new LogAction.Fenced(List.of(1L), List.of()));
		earlier.append("b");
		assertThat(earlier.events).contains(new LogAction.Refused(2, LogAction.RefusalReason.NOT_OPEN));
		assertThat(owner(3).recoveredEntries()).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(WriteFault.class)
	void commitsOnceIfTheReplyToAWriteIsMissing(WriteFault fault) {
		LogHarness log = owner(1);
		log.append("a");
		log.append("b");
		LogAction.Write write = log.nextWrite();
		fault.apply(this.store, log, write);
		assertThat(log.committed).as("before the write is settled").isEmpty();
		log.runUntilIdle();
		assertThat(log.committed).containsExactly("a", "b");
		assertThat(owner(2).recoveredEntries()).containsExactly("a", "b");
	}

	@Test
	void commitsOnceIfALostWriteTakesEffectAfterTheReadBack() {
		LogHarness log = owner(1);
		log.append("a");
		LogAction.Write write = log.nextWrite();
		log.reply(write, new WriteOutcome.ReplyLost("timeout"));
		log.performNextCall();
		this.store.write(write.write());
		log.runUntilIdle();
		assertThat(log.committed).containsExactly("a");
		assertThat(owner(2).recoveredEntries()).containsExactly("a");
	}

	@Test
	void overwritesOnlySlotsThatASnapshotCovers() {
		LogHarness log = owner(1);
		for (int i = 0; i < 12; i++) {
			log.append("e" + i);
			log.runUntilIdle();
		}
		assertThat(log.committed).containsExactly("e0", "e1", "e2", "e3", "e4");
		assertThat(log.hasEvent(LogAction.SnapshotNeeded.class::isInstance)).isTrue();
		assertThat(owner(2).recoveredEntries()).containsExactly("e0", "e1", "e2", "e3", "e4");
	}

	@Test
	void refusesAppendsWhileTheQueueIsFull() {
		LogHarness log = owner(1);
		String entry = "x".repeat(95);
		log.append(entry, entry, entry, entry, entry);
		assertThat(log.events).contains(new LogAction.Refused(5, LogAction.RefusalReason.QUEUE_FULL));
		log.runUntilIdle();
		log.append(entry, "y".repeat(300));
		log.runUntilIdle();
		assertThat(log.committed).hasSize(5);
		assertThat(log.events).contains(new LogAction.Refused(7, LogAction.RefusalReason.TOO_LARGE));
	}

	@Test
	void refusesARecordOfAnUnknownFormatVersion() {
		LogHarness log = owner(1);
		log.append("a");
		log.runUntilIdle();
		LogKeys keys = new LogKeys(LogHarness.SHARD);
		this.store.write(StoreWrite.put(keys.slot(3), new byte[] { 9, 1 }, StoreWrite.ABSENT));
		LogHarness later = owner(2);
		assertThat(later.events).containsExactly(new LogAction.Failed("log record has format version 9, expected 1"));
	}

	@Test
	void commitsLessOftenAtTheWriteRateLimit() {
		ShardLogSettings settings = new ShardLogSettings(512, 2, Duration.ofMillis(20), 3, 5, Duration.ofMillis(100),
				100_000, 400_000, 1000);
		LogHarness log = new LogHarness(this.store, settings, 1).recover();
		log.now = log.now.plusMillis(10_000);
		long before = log.writes;
		for (int i = 0; i < 1_000; i++) {
			log.append("e" + i);
			while (!log.pendingCalls.isEmpty()) {
				log.performNextCall();
			}
			log.now = log.now.plusMillis(10);
			log.perform(log.log.tick(log.now));
		}
		assertThat(log.writes - before).as("5 saved up and 3 per second for 10 s").isBetween(33L, 36L);
	}

	enum WriteFault {

		NOT_APPLIED(false, new WriteOutcome.NotWritten("store down")),
		LOST_AND_APPLIED(true, new WriteOutcome.ReplyLost("timeout")),
		LOST_AND_NOT_APPLIED(false, new WriteOutcome.ReplyLost("timeout"));

		private final boolean applied;

		private final WriteOutcome outcome;

		WriteFault(boolean applied, WriteOutcome outcome) {
			this.applied = applied;
			this.outcome = outcome;
		}

		void apply(FakeStore store, LogHarness log, LogAction.Write write) {
			if (this.applied) {
				assertThat(store.write(write.write())).isInstanceOf(WriteOutcome.Written.class);
			}
			log.reply(write, this.outcome);
		}

	}

}
