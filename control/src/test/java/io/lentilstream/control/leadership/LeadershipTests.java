package io.lentilstream.control.leadership;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.control.ManualEventLoop;
import io.lentilstream.control.store.MemoryStore;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

class LeadershipTests {

	private static final long LEASE_GRACE_MILLIS = 4000;

	private static final long EXIT_MILLIS = 5000;

	private final ManualEventLoop loop = new ManualEventLoop();

	private final MemoryStore store = new MemoryStore(this.loop);

	private final List<String> log = new ArrayList<>();

	private final Process first = new Process("a", 0);

	private final Process second = new Process("b", 0);

	@Test
	void oneProcessLeadsAndTheOtherFollowsIt() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.second.leadership.checkLeader();
		this.loop.runFor(3000);
		assertThat(this.first.leadership.leading()).isTrue();
		assertThat(this.second.leadership.leading()).isFalse();
		assertThat(this.second.leadership.leader()).map(LeaderRecord::node).contains("a");
	}

	@Test
	void theSuccessorOfAProcessThatResignedHasAHigherToken() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.first.leadership.resign("shutdown", true);
		this.second.leadership.checkLeader();
		this.loop.runFor(1000);
		assertThat(this.second.leadership.leading()).isTrue();
		assertThat(this.second.tokens.get(0)).isGreaterThan(this.first.tokens.get(0));
		assertThat(this.second.terms).containsExactly(1);
	}

	// Guards against an odd item that ends process after process.
	@ParameterizedTest
	@ValueSource(strings = { "", "x", "-1", "2147483647", "99999999999" })
	void anOddItemOfTheTermIsNoError(String term) {
		this.store.put("lentilstream/term", term.getBytes(StandardCharsets.US_ASCII));
		this.first.leadership.checkLeader();
		assertThatCode(() -> this.loop.runFor(5000)).doesNotThrowAnyException();
	}

	@Test
	void anItemOfALeaderWithoutAnAddressIsNoError() {
		LeaderRecord record = new LeaderRecord("c", new InetSocketAddress("127.0.0.1", 1), 0, 1);
		byte[] bytes = record.encode();
		// The port is the number 1 behind the address.
		bytes[bytes.length - 3] = -1;
		this.store.put(Leadership.LEADER_KEY, bytes);
		this.first.leadership.checkLeader();
		assertThatCode(() -> this.loop.runFor(5000)).doesNotThrowAnyException();
	}

	@Test
	void aClaimWhoseReplyIsLostStillLeadsToLeadership() {
		this.first.leadership.checkLeader();
		this.loop.runFor(9);
		this.store.mode = MemoryStore.Mode.LOSES_REPLIES;
		this.loop.runFor(4);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(1500);
		assertThat(this.first.leadership.leading() || this.first.lost > 0).isTrue();
		this.loop.runFor(4000);
		assertThat(this.first.leadership.leading()).isTrue();
	}

	@Test
	void aLeaderWithoutTheStoreStepsDownAfterItsGracePeriod() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.SILENT;
		this.loop.runFor(2000 + LEASE_GRACE_MILLIS + 1500);
		assertThat(this.first.leadership.leading()).isFalse();
		assertThat(this.first.lost).isEqualTo(1);
	}

	@Test
	void aLeaderThatSteppedDownInAnOutageDoesNotWaitForItsOwnExtendedLease() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.SILENT;
		long outage = 2000 + LEASE_GRACE_MILLIS + 1500;
		this.loop.runFor(outage);
		assertThat(this.first.leadership.leading()).isFalse();
		this.store.extendLeases(outage);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(1200);
		assertThat(this.first.leadership.leading()).isTrue();
		assertThat(this.first.terms).containsExactly(0, 1);
	}

	@Test
	void aLeaderStoppedDuringAnOutageEndsItsLeaseWhenTheStoreReturns() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.SILENT;
		this.loop.runFor(900);
		this.first.leadership.resign("shutdown", true);
		this.loop.runFor(3600);
		assertThat(this.first.leadership.released()).isFalse();
		assertThat(this.first.ending).isEqualTo(1);
		assertThat(this.first.lost).isZero();
		this.store.extendLeases(4500);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(1300);
		assertThat(this.first.leadership.released()).isTrue();
		assertThat(this.first.lost).isEqualTo(1);
		this.second.leadership.checkLeader();
		this.loop.runFor(300);
		assertThat(this.second.leadership.leading()).isTrue();
	}

	@Test
	void aProcessStoppedWhileItsClaimIsStoredEndsItsLeaseAtOnce() {
		this.first.leadership.checkLeader();
		while (this.store.commits == 0) {
			this.loop.runFor(1);
		}
		this.first.leadership.resign("shutdown", true);
		this.loop.runFor(100);
		assertThat(this.first.terms).isEmpty();
		assertThat(this.first.leadership.released()).isTrue();
		this.second.leadership.checkLeader();
		this.loop.runFor(300);
		assertThat(this.second.leadership.leading()).isTrue();
	}

	@Test
	void aLeaderThatIsAboutToExitLeadsUntilItHandsOver() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.first.leadership.leadOnlyUntil(this.loop.now() + EXIT_MILLIS);
		this.loop.runFor(4000);
		assertThat(this.first.leadership.leaseHeld()).isTrue();
		assertThat(this.first.leadership.released()).isFalse();
		assertThat(this.first.ending).isZero();
		this.first.leadership.handOver("shutdown");
		this.loop.runFor(100);
		assertThat(this.first.leadership.released()).isTrue();
		assertThat(this.first.lost).isEqualTo(1);
		this.second.leadership.checkLeader();
		this.loop.runFor(100);
		assertThat(this.second.leadership.leading()).isTrue();
		assertThat(this.second.terms).containsExactly(1);
	}

	@Test
	void aLeaderThatIsAboutToExitEndsItsLeaseInTimeWithoutASuccessor() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.first.leadership.leadOnlyUntil(this.loop.now() + EXIT_MILLIS);
		this.loop.runFor(EXIT_MILLIS - 1);
		assertThat(this.first.leadership.leaseHeld()).isTrue();
		this.loop.runFor(20);
		assertThat(this.first.leadership.released()).isTrue();
		this.loop.runFor(10_000);
		assertThat(this.first.terms).containsExactly(0);
	}

	@Test
	void aProcessThatIsToldToExitWhileItsClaimIsStoredLeadsUntilItHandsOver() {
		this.first.leadership.checkLeader();
		while (this.store.commits == 0) {
			this.loop.runFor(1);
		}
		this.first.leadership.leadOnlyUntil(this.loop.now() + EXIT_MILLIS);
		this.loop.runFor(EXIT_MILLIS - 1);
		assertThat(this.first.terms).containsExactly(0);
		assertThat(this.first.leadership.leaseHeld()).isTrue();
		this.loop.runFor(20);
		assertThat(this.first.leadership.released()).isTrue();
	}

	@Test
	void aLeaderThatIsAboutToExitInAnOutageEndsItsLeaseWhenTheStoreReturns() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.SILENT;
		this.loop.runFor(900);
		this.first.leadership.leadOnlyUntil(this.loop.now() + EXIT_MILLIS);
		this.loop.runFor(3600);
		assertThat(this.first.leadership.released()).isFalse();
		assertThat(this.first.ending).isEqualTo(1);
		this.store.extendLeases(4500);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(900);
		assertThat(this.first.leadership.released()).isTrue();
		this.second.leadership.checkLeader();
		this.loop.runFor(300);
		assertThat(this.second.leadership.leading()).isTrue();
	}

	@Test
	void aProcessThatIsAboutToExitLeadsIfNoOtherDoes() {
		this.first.leadership.leadOnlyUntil(this.loop.now() + EXIT_MILLIS);
		this.first.leadership.checkLeader();
		this.loop.runFor(500);
		assertThat(this.first.leadership.leading()).isFalse();
		this.loop.runFor(500);
		assertThat(this.first.leadership.leading()).isTrue();
		this.loop.runFor(EXIT_MILLIS);
		assertThat(this.first.leadership.released()).isTrue();
		assertThat(this.first.terms).containsExactly(0);
	}

	@Test
	void aProcessThatIsAboutToExitLeadsAtOnceIfItIsNamedAsTheSuccessor() {
		this.first.leadership.leadOnlyUntil(this.loop.now() + EXIT_MILLIS);
		this.first.leadership.succeed();
		this.loop.runFor(100);
		assertThat(this.first.leadership.leading()).isTrue();
	}

	@Test
	void aNamedSuccessorThatHandedOverItselfLeavesTheLeadershipToOthers() {
		this.first.leadership.leadOnlyUntil(this.loop.now() + EXIT_MILLIS);
		this.first.leadership.succeed();
		this.loop.runFor(100);
		this.first.leadership.handOver("shutdown");
		this.loop.runFor(500);
		this.second.leadership.checkLeader();
		this.loop.runFor(1000);
		assertThat(this.first.terms).containsExactly(0);
		assertThat(this.second.leadership.leading()).isTrue();
	}

	@Test
	void aProcessThatIsNamedAsTheSuccessorDoesNotRunShortlyBeforeItsExit() {
		this.first.leadership.leadOnlyUntil(this.loop.now() + 1000);
		this.first.leadership.succeed();
		this.loop.runFor(3000);
		assertThat(this.first.terms).isEmpty();
	}

	@Test
	void aProcessThatIsAboutToExitLeavesTheLeadershipToOthers() {
		this.first.leadership.leadOnlyUntil(this.loop.now() + EXIT_MILLIS);
		this.first.leadership.checkLeader();
		this.loop.runFor(400);
		this.second.leadership.checkLeader();
		this.loop.runFor(3000);
		assertThat(this.second.leadership.leading()).isTrue();
		assertThat(this.first.terms).isEmpty();
	}

	@Test
	void aProcessDoesNotRunForLeadershipShortlyBeforeItsExit() {
		this.first.leadership.leadOnlyUntil(this.loop.now() + 2000);
		this.first.leadership.checkLeader();
		this.loop.runFor(10_000);
		assertThat(this.first.terms).isEmpty();
		assertThat(this.first.leadership.released()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12 })
	void twoProcessesNeverHoldTheLeaseWhileAllAreStoppedInTurn(long seed) {
		Random faults = new Random(seed);
		List<Process> processes = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			processes.add(new Process("p" + i, 0));
			processes.get(i).leadership.checkLeader();
		}
		int stopped = 0;
		for (int millis = 0; millis < 12_000; millis++) {
			if (stopped < 4 && millis > 500 && faults.nextInt(400) == 0) {
				processes.get(stopped++).leadership.leadOnlyUntil(this.loop.now() + EXIT_MILLIS);
			}
			if (faults.nextInt(300) == 0) {
				processes.get(faults.nextInt(4)).leadership.handOver("shutdown");
			}
			if (faults.nextInt(700) == 0) {
				this.store.mode = faults.nextBoolean() ? MemoryStore.Mode.LOSES_REPLIES : MemoryStore.Mode.SILENT;
			}
			else if (faults.nextInt(200) == 0) {
				this.store.mode = MemoryStore.Mode.WORKS;
			}
			processes.get(faults.nextInt(4)).leadership.checkLeader();
			this.loop.runFor(1);
			assertThat(processes).filteredOn((process) -> process.leadership.leaseHeld()).hasSizeLessThan(2);
		}
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(4000);
		assertThat(processes).filteredOn((process) -> !process.leadership.released()).isEmpty();
	}

	@Test
	void aProcessWithACandidacyDelayWaitsBeforeItLeads() {
		Process delayed = new Process("w", 800);
		delayed.leadership.checkLeader();
		this.loop.runFor(500);
		assertThat(delayed.leadership.leading()).isFalse();
		this.loop.runFor(1500);
		assertThat(delayed.leadership.leading()).isTrue();
	}

	// Guards against a lease that expired because a renewal without reply held up the
	// next.
	@Test
	void aLeaderSurvivesTwoRenewalsWithoutReplyThatAreASecondApart() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.store.mode = MemoryStore.Mode.SILENT;
		this.loop.runFor(500);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(1000);
		this.store.mode = MemoryStore.Mode.SILENT;
		this.loop.runFor(300);
		this.store.mode = MemoryStore.Mode.WORKS;
		this.loop.runFor(5000);
		assertThat(this.first.leadership.leading()).isTrue();
		assertThat(this.first.terms).containsExactly(0);
	}

	@Test
	void theSuccessorOfALeaderThatEndedItsLeaseDoesNotTakeItForExpired() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.second.leadership.checkLeader();
		this.loop.runFor(100);
		this.first.leadership.resign("shutdown", true);
		this.second.leadership.leaderLost();
		this.loop.runFor(250);
		this.second.leadership.checkLeader();
		this.loop.runFor(100);
		assertThat(this.second.expiredLeases).containsExactly(false);
	}

	@Test
	void theLogTellsHowLongAProcessSawNoLeaderBeforeItWon() {
		this.first.leadership.checkLeader();
		this.loop.runFor(100);
		this.second.leadership.checkLeader();
		this.loop.runFor(100);
		this.first.leadership.resign("shutdown", true);
		this.loop.runFor(1000);
		this.second.leadership.checkLeader();
		this.loop.runFor(100);
		// Reading the leader, granting a lease, reading the term and storing the claim
		// take 4 ms each.
		assertThat(this.log).filteredOn((line) -> line.startsWith("leadership-won"))
			.containsExactly("leadership-won a [term, 0, token, 2, leaderless-ms, 12, leader-seen-ms, -1]",
					"leadership-won b [term, 1, token, 4, leaderless-ms, 12, leader-seen-ms, 1112]");
	}

	/**
	 * A process that runs for leadership.
	 */
	private final class Process implements Leadership.Listener {

		private final Leadership leadership;

		private final List<Long> tokens = new ArrayList<>();

		private final List<Integer> terms = new ArrayList<>();

		private final List<Boolean> expiredLeases = new ArrayList<>();

		private int lost;

		private int ending;

		Process(String node, long candidacyDelayMillis) {
			this.leadership = new Leadership(LeadershipTests.this.loop, LeadershipTests.this.store,
					(decision, subject, inputs) -> LeadershipTests.this.log
						.add(decision + " " + subject + " " + Arrays.toString(inputs)),
					new Random(node.hashCode()), new Leadership.Candidate(node,
							new InetSocketAddress("127.0.0.1", 1000), candidacyDelayMillis, LEASE_GRACE_MILLIS),
					this);
		}

		@Override
		public void leadershipWon(Leadership.LeaderTerm leaderTerm) {
			this.tokens.add(leaderTerm.fencingToken());
			this.terms.add(leaderTerm.number());
			this.expiredLeases.add(leaderTerm.predecessorLeaseExpired());
		}

		@Override
		public void leadershipEnding() {
			this.ending++;
		}

		@Override
		public void leadershipLost() {
			this.lost++;
		}

		@Override
		public void leaderFound(LeaderRecord leader) {
			// Not needed, since the tests check the state of the leadership instead.
		}

	}

}
