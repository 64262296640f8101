package io.lentilstream.shards.log;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

import io.lentilstream.clients.ListOutcome;
import io.lentilstream.clients.ReadOutcome;
import io.lentilstream.clients.StoreWrite;
import io.lentilstream.clients.WriteOutcome;
import io.lentilstream.shards.FakeStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against fault sequences (lost calls, lost replies, delayed writes and takeovers)
 * after which a committed entry is lost, duplicated or out of order, or a fenced owner
 * commits.
 */
class LogSequenceTests {

	private static final int OWNERS = 3;

	/** Reserves enough slots for the epoch markers of all takeovers in a sequence. */
	private static final ShardLogSettings SETTINGS = new ShardLogSettings(32, 16, Duration.ofMillis(20), 1000, 1000,
			Duration.ofMillis(100), 200, 400, 16);

	@Property(tries = 2_000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
	void losesNoCommittedEntryAndFencesEarlierOwners(@ForAll("events") List<Event> events) {
		FakeStore store = new FakeStore();
		List<LogHarness> owners = new ArrayList<>();
		List<StoreWrite> delayedWrites = new ArrayList<>();
		int entries = 0;
		for (Event event : events) {
			if (event.kind() == Kind.TAKE_OVER || owners.isEmpty()) {
				LogHarness next = new LogHarness(store, SETTINGS, owners.size() + 1);
				next.writesSnapshots = true;
				owners.add(next);
			}
			LogHarness owner = owners.get(Math.max(0, owners.size() - 1 - event.owner()));
			owner.now = owner.now.plusMillis(150);
			owner.perform(owner.log.tick(owner.now));
			switch (event.kind()) {
				case APPEND -> owner.append("e" + entries++);
				case PERFORM_CALL -> performNextCall(owner, true, true, delayedWrites);
				case LOSE_REPLY -> performNextCall(owner, true, false, delayedWrites);
				case LOSE_CALL -> performNextCall(owner, false, false, delayedWrites);
				case APPLY_LATE -> {
					if (!delayedWrites.isEmpty()) {
						store.write(delayedWrites.remove(0));
					}
				}
				default -> {
				}
			}
			assertNoEntryLost(owners);
		}
		LogHarness last = new LogHarness(store, SETTINGS, owners.size() + 1).recover();
		owners.add(last);
		assertNoEntryLost(owners);
		assertThat(last.log.isOpen()).isTrue();
		for (LogHarness owner : owners) {
			last.assertKnowsEntriesOf(owner);
		}
		assertThat(last.knownEntries).doesNotHaveDuplicates();
	}

	private static void performNextCall(LogHarness owner, boolean applied, boolean replied,
			List<StoreWrite> delayedWrites) {
		if (owner.pendingCalls.isEmpty()) {
			return;
		}
		if (replied) {
			owner.performNextCall();
			return;
		}
		LogAction call = owner.pendingCalls.remove();
		if (call instanceof LogAction.Write write) {
			if (applied) {
				owner.store.write(write.write());
			}
			else {
				delayedWrites.add(write.write());
			}
			owner.reply(write, new WriteOutcome.ReplyLost("timeout"));
		}
		else if (call instanceof LogAction.Read read) {
			owner.perform(owner.log.completed(owner.now, read.id(), new ReadOutcome.Unavailable("timeout")));
		}
		else if (call instanceof LogAction.ListKeys list) {
			owner.perform(owner.log.completed(owner.now, list.id(), new ListOutcome.Unavailable("timeout")));
		}
	}

	/**
	 * Checks that each recovered owner knows all entries that earlier owners committed,
	 * so none of them committed after its epoch marker.
	 */
	private static void assertNoEntryLost(List<LogHarness> owners) {
		Set<String> earlier = new HashSet<>();
		for (LogHarness owner : owners) {
			if (owner.hasEvent(LogAction.Recovered.class::isInstance)) {
				assertThat(owner.knownEntries).containsAll(earlier);
			}
			assertThat(owner.hasEvent(LogAction.Failed.class::isInstance)).as("%s", owner.events).isFalse();
			earlier.addAll(owner.committed);
		}
	}

	@Provide
	Arbitrary<List<Event>> events() {
		Arbitrary<Kind> kinds = Arbitraries.frequencyOf(net.jqwik.api.Tuple.of(8, Arbitraries.just(Kind.PERFORM_CALL)),
				net.jqwik.api.Tuple.of(5, Arbitraries.just(Kind.APPEND)),
				net.jqwik.api.Tuple.of(1, Arbitraries.of(Kind.class)));
		return Combinators.combine(kinds, Arbitraries.integers().between(0, OWNERS - 1))
			.as(Event::new)
			.list()
			.ofMinSize(20)
			.ofMaxSize(300);
	}

	enum Kind {

		APPEND, PERFORM_CALL, LOSE_REPLY, LOSE_CALL, APPLY_LATE, TAKE_OVER

	}

	record Event(Kind kind, int owner) {
	}

}
