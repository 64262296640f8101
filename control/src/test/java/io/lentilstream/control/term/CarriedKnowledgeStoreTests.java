package io.lentilstream.control.term;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.leadership.Leadership;
import io.lentilstream.control.store.MemoryStore;
import io.lentilstream.jobs.carryover.CarriedKnowledge;
import io.lentilstream.jobs.codec.DecodeException;

import static org.assertj.core.api.Assertions.assertThat;

class CarriedKnowledgeStoreTests {

	private static final long FENCING_TOKEN = 2;

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final List<String> log = new ArrayList<>();

	private final Note note = new Note("interference");

	CarriedKnowledgeStoreTests() {
		this.store.put(Leadership.LEADER_KEY, new byte[1]);
	}

	@Test
	void aSuccessorRestoresWhatItsPredecessorStored() {
		this.note.bytes = "learned".getBytes();
		startTerm(this.note);
		this.loop.runFor(2100);
		Note next = new Note("interference");
		startTerm(next);
		assertThat(next.restored).isEqualTo("learned".getBytes());
	}

	@Test
	void theItemOfAnEarlierVersionIsRestored() {
		this.store.put(JobKeys.INTERFERENCE, new byte[] { 7 });
		startTerm(this.note);
		assertThat(this.note.restored).containsExactly(7);
	}

	@Test
	void theItemOfAnEarlierVersionThatLedLaterIsRestored() {
		this.store.put(JobKeys.knowledge("interference"), new byte[] { 5 });
		this.store.put(JobKeys.INTERFERENCE, new byte[] { 7 });
		startTerm(this.note);
		assertThat(this.note.restored).containsExactly(7);
		this.store.put(JobKeys.knowledge("interference"), new byte[] { 5 });
		startTerm(this.note);
		assertThat(this.note.restored).containsExactly(5);
	}

	@Test
	void aTermStartsWithoutAnItemThatIsUnreadable() {
		this.store.put(JobKeys.knowledge("interference"), new byte[] { 5 });
		Note other = new Note("other");
		this.store.put(JobKeys.knowledge("other"), new byte[] { 6 });
		this.note.readable = false;
		startTerm(this.note, other);
		assertThat(other.restored).containsExactly(6);
		assertThat(this.log).anyMatch((line) -> line.startsWith("knowledge-unreadable"));
	}

	@Test
	void aTermStartsWhileTheStoreRefusesToRead() {
		this.store.mode = MemoryStore.Mode.REFUSES;
		startTerm(this.note);
		assertThat(this.note.restored).isNull();
		assertThat(this.log).anyMatch((line) -> line.startsWith("knowledge-not-read"));
	}

	@Test
	void aSnapshotThatHasNotChangedIsNotStoredAgain() {
		this.note.bytes = new byte[] { 1 };
		startTerm(this.note);
		this.loop.runFor(60_000);
		assertThat(this.store.commits).isEqualTo(1);
	}

	@Test
	void aSnapshotIsStoredAgainAfterAnOutage() {
		this.note.bytes = new byte[] { 1 };
		startTerm(this.note);
		this.store.mode = MemoryStore.Mode.REFUSES;
		this.loop.runFor(5000);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(2100);
		assertThat(this.store.value(JobKeys.knowledge("interference"))).containsExactly(1);
	}

	@Test
	void whatIsNoLongerTrueIsRemoved() {
		this.note.bytes = new byte[] { 1 };
		startTerm(this.note);
		this.loop.runFor(2100);
		this.note.bytes = new byte[0];
		this.loop.runFor(2100);
		assertThat(this.store.value(JobKeys.knowledge("interference"))).isNull();
	}

	@Test
	void aSupersededLeaderStoresNothing() {
		this.note.bytes = new byte[] { 1 };
		startTerm(this.note);
		this.store.put(Leadership.LEADER_KEY, new byte[2]);
		this.loop.runFor(2100);
		assertThat(this.store.value(JobKeys.knowledge("interference"))).isNull();
	}

	@Test
	void writesAndBytesStayWithinTheirBudgetsAndEachKindIsStoredInTurn() {
		List<Note> notes = IntStream.range(0, 6).mapToObj((index) -> new Note("kind-" + index)).toList();
		startTerm(notes.toArray(Note[]::new));
		int rounds = 30;
		for (int round = 1; round <= rounds; round++) {
			for (Note changed : notes) {
				changed.bytes = new byte[10_000];
				Arrays.fill(changed.bytes, (byte) round);
			}
			this.loop.runFor(CarriedKnowledgeStore.INTERVAL_MILLIS);
		}
		long seconds = rounds * CarriedKnowledgeStore.INTERVAL_MILLIS / 1000;
		assertThat(this.store.commits).isLessThanOrEqualTo((int) (2 * seconds));
		assertThat(CarriedKnowledgeStore.MAX_COMMIT_BYTES).isLessThanOrEqualTo(16_384 * 2);
		assertThat(notes).allSatisfy((kind) -> assertThat((int) this.store.value(JobKeys.knowledge(kind.name))[0])
			.isGreaterThanOrEqualTo(rounds - 2));
	}

	private void startTerm(Note... kinds) {
		Term.Dependencies dependencies = new Term.Dependencies(this.loop, this.store,
				(decision, subject, inputs) -> this.log.add(decision + " " + subject));
		CarriedKnowledgeStore created = new CarriedKnowledgeStore(dependencies, FENCING_TOKEN, List.of(kinds));
		List<String> completed = new ArrayList<>();
		created.read(() -> completed.add("read"));
		this.loop.runFor(1500);
		assertThat(completed).hasSize(1);
		created.restore();
		created.storePeriodically();
	}

	private static final class Note implements CarriedKnowledge {

		private final String name;

		private byte[] bytes = new byte[0];

		private byte[] restored;

		private boolean readable = true;

		Note(String name) {
			this.name = name;
		}

		@Override
		public String name() {
			return this.name;
		}

		@Override
		public byte[] snapshot() {
			return this.bytes;
		}

		@Override
		public void restore(byte[] snapshot, long ageMillis) throws DecodeException {
			if (!this.readable) {
				throw new DecodeException("unreadable", new IOException());
			}
			this.restored = snapshot;
		}

	}

}
