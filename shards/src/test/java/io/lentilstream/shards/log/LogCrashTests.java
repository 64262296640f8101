package io.lentilstream.shards.log;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.shards.FakeStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process crash at any store call of a commit, snapshot or takeover that
 * loses a committed entry or leaves a log that cannot be recovered.
 */
class LogCrashTests {

	private static final int ENTRIES = 14;

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void recoversAfterACrashAtEachCall(boolean lastCallApplied) {
		int crashes = 0;
		for (int calls = 1; true; calls++) {
			FakeStore store = new FakeStore();
			LogHarness first = owner(store, 1);
			boolean finished = runUntilCrash(first, calls, lastCallApplied);
			int callsOfTakeover = 0;
			while (true) {
				callsOfTakeover++;
				LogHarness second = owner(store, 1 + callsOfTakeover);
				boolean recovered = runUntilCrash(second, callsOfTakeover, lastCallApplied);
				crashes++;
				if (recovered || callsOfTakeover > 5) {
					break;
				}
			}
			LogHarness last = owner(store, 100).recover();
			assertThat(last.log.isOpen()).as("after %d calls: %s", calls, last.events).isTrue();
			last.assertKnowsEntriesOf(first);
			assertThat(last.knownEntries).doesNotHaveDuplicates();
			if (finished) {
				break;
			}
		}
		assertThat(crashes).isGreaterThan(100);
	}

	private static LogHarness owner(FakeStore store, long epoch) {
		ShardLogSettings settings = new ShardLogSettings(16, 8, ShardLogTests.SMALL.commitInterval(), 1000, 1000,
				ShardLogTests.SMALL.retryInterval(), 200, 400, 16);
		LogHarness owner = new LogHarness(store, settings, epoch);
		owner.writesSnapshots = true;
		return owner;
	}

	private static boolean runUntilCrash(LogHarness owner, int calls, boolean lastCallApplied) {
		int performed = 0;
		int appended = 0;
		owner.perform(owner.log.tick(owner.now));
		while (true) {
			if (owner.pendingCalls.isEmpty()) {
				if (appended == ENTRIES) {
					return true;
				}
				if (owner.log.isIdle()) {
					owner.append("e" + owner.epoch + "-" + appended++);
				}
				owner.now = owner.now.plusMillis(20);
				owner.perform(owner.log.tick(owner.now));
				continue;
			}
			performed++;
			if (performed == calls) {
				if (lastCallApplied && owner.pendingCalls.peek() instanceof LogAction.Write write) {
					owner.store.write(write.write());
				}
				return false;
			}
			owner.performNextCall();
		}
	}

}
