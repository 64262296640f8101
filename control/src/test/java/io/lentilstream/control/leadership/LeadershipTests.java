package io.lentilstream.control.leadership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.ManualLoop;
import io.lentilstream.control.store.MemoryStore;

import static org.assertj.core.api.Assertions.assertThat;

class LeadershipTests {

	private static final long GRACE_MILLIS = 4000;

	private final ManualLoop loop = new ManualLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final Process first = new Process("a", 0);

	private final Process second = new Process("b", 0);

	@Test
	void oneProcessLeadsAndTheOtherFollowsIt() {
		this.first.leadership.look();
		this.loop.runFor(100);
		this.second.leadership.look();
		this.loop.runFor(3000);
		assertThat(this.first.leadership.leading()).isTrue();
		assertThat(this.second.leadership.leading()).isFalse();
		assertThat(this.second.leadership.leader()).map(LeaderRecord::node).contains("a");
	}

	@Test
	void aProcessThatResignsIsFollowedByOneWithAHigherToken() {
		this.first.leadership.look();
		this.loop.runFor(100);
		this.first.leadership.resign("shutdown", true);
		this.second.leadership.look();
		this.loop.runFor(1000);
		assertThat(this.second.leadership.leading()).isTrue();
		assertThat(this.second.tokens.get(0)).isGreaterThan(this.first.tokens.get(0));
		assertThat(this.second.terms).containsExactly(1);
	}

	@Test
	void aClaimWhoseAnswerIsLostIsTakenUp() {
		this.first.leadership.look();
		this.loop.runFor(9);
		this.store.mode = MemoryStore.Mode.LOSES_ANSWERS;
		this.loop.runFor(4);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(1500);
		assertThat(this.first.leadership.leading() || this.first.lost > 0).isTrue();
		this.loop.runFor(4000);
		assertThat(this.first.leadership.leading()).isTrue();
	}

	@Test
	void aLeaderWithoutAStoreStopsAfterItsGrace() {
		this.first.leadership.look();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.SILENT;
		this.loop.runFor(2000 + GRACE_MILLIS + 1500);
		assertThat(this.first.leadership.leading()).isFalse();
		assertThat(this.first.lost).isEqualTo(1);
	}

	@Test
	void aLeaderThatGaveUpInAnOutageInWhichLeasesPausedDoesNotWaitForItsOwnLease() {
		this.first.leadership.look();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.SILENT;
		long outage = 2000 + GRACE_MILLIS + 1500;
		this.loop.runFor(outage);
		assertThat(this.first.leadership.leading()).isFalse();
		this.store.extendLeases(outage);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(1200);
		assertThat(this.first.leadership.leading()).isTrue();
		assertThat(this.first.terms).containsExactly(0, 1);
	}

	@Test
	void aWeakProcessLetsOthersGoFirst() {
		Process weak = new Process("w", 800);
		weak.leadership.look();
		this.loop.runFor(500);
		assertThat(weak.leadership.leading()).isFalse();
		this.loop.runFor(1500);
		assertThat(weak.leadership.leading()).isTrue();
	}

	/**
	 * A process that looks for the leadership.
	 */
	private final class Process implements Leadership.Listener {

		private final Leadership leadership;

		private final List<Long> tokens = new ArrayList<>();

		private final List<Integer> terms = new ArrayList<>();

		private int lost;

		Process(String node, long hesitation) {
			this.leadership = new Leadership(LeadershipTests.this.loop, LeadershipTests.this.store,
					(decision, subject, inputs) -> {
					}, new Random(node.hashCode()),
					new Leadership.Candidate(node, new InetSocketAddress("127.0.0.1", 1000), hesitation, GRACE_MILLIS),
					this);
		}

		@Override
		public void won(Leadership.Mandate mandate) {
			this.tokens.add(mandate.token());
			this.terms.add(mandate.term());
		}

		@Override
		public void lost() {
			this.lost++;
		}

		@Override
		public void following(LeaderRecord leader) {
			// Only the leadership itself is looked at.
		}

	}

}
