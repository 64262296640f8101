package io.lentilstream.control.leadership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import io.lentilstream.control.EventLoop;
import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.store.MemoryStore;

import static org.assertj.core.api.Assertions.assertThat;

class SuspendedLeaderTests {

	private final ManualEventLoop loop = new ManualEventLoop();

	private final SuspendableLoop suspendable = new SuspendableLoop(this.loop);

	private final MemoryStore store = new MemoryStore(this.loop);

	private final List<Boolean> expiredLeases = new ArrayList<>();

	private final Leadership first = leadership(this.suspendable, "a");

	private final Leadership second = leadership(this.loop, "b");

	// The steady clock does not count the time of a suspended machine.
	@Test
	void aLeaderWhoseMachineWasSuspendedDoesNotHoldALeaseThatHasExpired() {
		this.first.checkLeader();
		run(520);
		assertThat(this.first.leaseHeld()).isTrue();
		for (int i = 0; i < 12; i++) {
			this.second.checkLeader();
			this.loop.runFor(250);
		}
		assertThat(this.second.leaseHeld()).isTrue();
		assertThat(this.first.leaseHeld()).isFalse();
	}

	// Also guards against an election that waits for connections to the lost leader to
	// fail.
	@Test
	void theSuccessorOfALostLeaderKnowsThatItsLeaseExpired() {
		this.first.checkLeader();
		run(520);
		this.second.checkLeader();
		this.loop.runFor(100);
		this.second.leaderLost();
		this.loop.runFor(250);
		this.second.checkLeader();
		this.loop.runFor(2500);
		assertThat(this.expiredLeases).containsExactly(false, true);
	}

	private void run(long millis) {
		for (long i = 0; i < millis; i++) {
			this.loop.runFor(1);
			this.suspendable.steady.runFor(1);
		}
	}

	private Leadership leadership(EventLoop processLoop, String node) {
		return new Leadership(processLoop, this.store, (decision, subject, inputs) -> {
		}, new Random(1), new Leadership.Candidate(node, new InetSocketAddress("127.0.0.1", 1000), 0, 4000),
				new Leadership.Listener() {

					@Override
					public void leadershipWon(Leadership.LeaderTerm leaderTerm) {
						SuspendedLeaderTests.this.expiredLeases.add(leaderTerm.predecessorLeaseExpired());
					}

					@Override
					public void leadershipEnding() {
						// Not needed.
					}

					@Override
					public void leadershipLost() {
						// Not needed.
					}

					@Override
					public void leaderFound(LeaderRecord leader) {
						// Not needed.
					}

				});
	}

	/** A loop whose steady clock and timers stand still unless they are advanced. */
	private static final class SuspendableLoop implements EventLoop {

		private final ManualEventLoop steady = new ManualEventLoop();

		private final EventLoop wall;

		SuspendableLoop(EventLoop wall) {
			this.wall = wall;
		}

		@Override
		public long now() {
			return this.steady.now();
		}

		@Override
		public long wallClockMillis() {
			return this.wall.wallClockMillis();
		}

		@Override
		public Runnable schedule(long millis, Runnable task) {
			return this.steady.schedule(millis, task);
		}

	}

}
