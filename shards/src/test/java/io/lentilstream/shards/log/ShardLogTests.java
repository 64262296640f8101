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
 * Guards against lost or doubled entries, appends of a fenced owner and overwritten slots
 * that no snapshot covers.
 */
class ShardLogTests {

	static final ShardLogSettings SMALL = new ShardLogSettings(8, 2, Duration.ofMillis(20), 1000, 1000,
			Duration.ofMillis(100), 200, 400, 16);

	private final FakeStore store = new FakeStore();

	private LogHarness owner(long epoch) {
		return new LogHarness(this.store, SMALL, epoch).recover();
	}

	@Test
	void writesAppendsThatWaitForACommitAsOneRecord() {
		LogHarness log = owner(1);
		long before = log.writes;
		log.append("a", "b", "c", "d");
		log.run();
		assertThat(log.committed).containsExactly("a", "b", "c", "d");
		assertThat(log.writes - before).isEqualTo(2);
		assertThat(owner(2).recovered()).containsExactly("a", "b", "c", "d");
	}

	@Test
	void recoversAnAppendThatCameBetweenTheListAndTheMarker() {
		LogHarness old = owner(1);
		old.append("a");
		LogHarness next = new LogHarness(this.store, SMALL, 2);
		next.take(next.log.tick(next.now));
		next.step();
		old.run();
		next.run();
		assertThat(old.committed).containsExactly("a");
		assertThat(next.recovered()).containsExactly("a");
	}

	@Test
	void fencesAnAppendThatComesAfterTheMarker() {
		LogHarness old = owner(1);
		owner(2);
		old.append("a");
		old.run();
		assertThat(old.committed).isEmpty();
		assertThat(old.events).contains(new LogAction.Fenced(List.of(1L), List.of()));
		old.append("b");
		assertThat(old.events).contains(new LogAction.Refused(2, LogAction.RefusalReason.NOT_OPEN));
		assertThat(owner(3).recovered()).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(WriteFault.class)
	void settlesAWriteWithoutAReply(WriteFault fault) {
		LogHarness log = owner(1);
		log.append("a");
		log.append("b");
		LogAction.Write write = log.nextWrite();
		fault.apply(this.store, log, write);
		assertThat(log.committed).as("before the write is settled").isEmpty();
		log.run();
		assertThat(log.committed).containsExactly("a", "b");
		assertThat(owner(2).recovered()).containsExactly("a", "b");
	}

	@Test
	void settlesALostWriteThatTakesEffectAfterTheReadBack() {
		LogHarness log = owner(1);
		log.append("a");
		LogAction.Write write = log.nextWrite();
		log.reply(write, new WriteOutcome.ReplyLost("timeout"));
		log.step();
		this.store.write(write.write());
		log.run();
		assertThat(log.committed).containsExactly("a");
		assertThat(owner(2).recovered()).containsExactly("a");
	}

	@Test
	void overwritesOnlySlotsThatASnapshotCovers() {
		LogHarness log = owner(1);
		for (int i = 0; i < 12; i++) {
			log.append("e" + i);
			log.run();
		}
		assertThat(log.committed).containsExactly("e0", "e1", "e2", "e3", "e4");
		assertThat(log.has(LogAction.SnapshotNeeded.class::isInstance)).isTrue();
		assertThat(owner(2).recovered()).containsExactly("e0", "e1", "e2", "e3", "e4");
	}

	@Test
	void refusesAppendsWhileTheQueueIsFull() {
		LogHarness log = owner(1);
		String entry = "x".repeat(95);
		log.append(entry, entry, entry, entry, entry);
		assertThat(log.events).contains(new LogAction.Refused(5, LogAction.RefusalReason.QUEUE_FULL));
		log.run();
		log.append(entry, "y".repeat(300));
		log.run();
		assertThat(log.committed).hasSize(5);
		assertThat(log.events).contains(new LogAction.Refused(7, LogAction.RefusalReason.TOO_LARGE));
	}

	@Test
	void refusesARecordOfAnUnknownFormatVersion() {
		LogHarness log = owner(1);
		log.append("a");
		log.run();
		LogKeys keys = new LogKeys(LogHarness.SHARD);
		this.store.write(StoreWrite.put(keys.slot(3), new byte[] { 9, 1 }, StoreWrite.ABSENT));
		LogHarness next = owner(2);
		assertThat(next.events).containsExactly(new LogAction.Failed("log record has format version 9, expected 1"));
	}

	@Test
	void commitsLessOftenWhenTheWriteBudgetIsUsedUp() {
		ShardLogSettings settings = new ShardLogSettings(512, 2, Duration.ofMillis(20), 3, 5, Duration.ofMillis(100),
				100_000, 400_000, 1000);
		LogHarness log = new LogHarness(this.store, settings, 1).recover();
		log.now = log.now.plusMillis(10_000);
		long before = log.writes;
		for (int i = 0; i < 1_000; i++) {
			log.append("e" + i);
			while (!log.calls.isEmpty()) {
				log.step();
			}
			log.now = log.now.plusMillis(10);
			log.take(log.log.tick(log.now));
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
