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
 * Guards against sequences of faults after which a committed entry is lost, doubled or
 * out of order, or a fenced owner commits.
 */
class LogSequenceTests {

	private static final int OWNERS = 3;

	/** Has room for the markers of all takeovers of a sequence. */
	private static final ShardLogSettings SETTINGS = new ShardLogSettings(32, 16, Duration.ofMillis(20), 1000, 1000,
			Duration.ofMillis(100), 200, 400, 16);

	@Property(tries = 2_000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
	void losesNoCommittedEntryAndFencesEarlierOwners(@ForAll("events") List<Event> events) {
		FakeStore store = new FakeStore();
		List<LogHarness> owners = new ArrayList<>();
		List<StoreWrite> late = new ArrayList<>();
		int entries = 0;
		for (Event event : events) {
			if (event.kind() == Kind.TAKE_OVER || owners.isEmpty()) {
				LogHarness next = new LogHarness(store, SETTINGS, owners.size() + 1);
				next.answersSnapshots = true;
				owners.add(next);
			}
			LogHarness owner = owners.get(Math.max(0, owners.size() - 1 - event.owner()));
			owner.now = owner.now.plusMillis(150);
			owner.take(owner.log.tick(owner.now));
			switch (event.kind()) {
				case APPEND -> owner.append("e" + entries++);
				case STEP -> carryOut(owner, true, true, late);
				case LOSE_REPLY -> carryOut(owner, true, false, late);
				case LOSE_CALL -> carryOut(owner, false, false, late);
				case APPLY_LATE -> {
					if (!late.isEmpty()) {
						store.write(late.remove(0));
					}
				}
				default -> {
				}
			}
			check(owners);
		}
		LogHarness last = new LogHarness(store, SETTINGS, owners.size() + 1).recover();
		owners.add(last);
		check(owners);
		assertThat(last.log.isOpen()).isTrue();
		for (LogHarness owner : owners) {
			last.requireEntriesOf(owner);
		}
		assertThat(last.state).doesNotHaveDuplicates();
	}

	private static void carryOut(LogHarness owner, boolean applied, boolean replied, List<StoreWrite> late) {
		if (owner.calls.isEmpty()) {
			return;
		}
		if (replied) {
			owner.step();
			return;
		}
		LogAction call = owner.calls.remove();
		if (call instanceof LogAction.Write write) {
			if (applied) {
				owner.store.write(write.write());
			}
			else {
				late.add(write.write());
			}
			owner.reply(write, new WriteOutcome.ReplyLost("timeout"));
		}
		else if (call instanceof LogAction.Read read) {
			owner.take(owner.log.completed(owner.now, read.id(), new ReadOutcome.Unavailable("timeout")));
		}
		else if (call instanceof LogAction.ListKeys list) {
			owner.take(owner.log.completed(owner.now, list.id(), new ListOutcome.Unavailable("timeout")));
		}
	}

	/**
	 * Checks that what earlier owners committed is known to each later owner that has
	 * recovered, so nothing was committed after its marker.
	 */
	private static void check(List<LogHarness> owners) {
		Set<String> earlier = new HashSet<>();
		for (LogHarness owner : owners) {
			if (owner.has(LogAction.Recovered.class::isInstance)) {
				assertThat(owner.state).containsAll(earlier);
			}
			assertThat(owner.has(LogAction.Failed.class::isInstance)).as("%s", owner.events).isFalse();
			earlier.addAll(owner.committed);
		}
	}

	@Provide
	Arbitrary<List<Event>> events() {
		Arbitrary<Kind> kinds = Arbitraries.frequencyOf(net.jqwik.api.Tuple.of(8, Arbitraries.just(Kind.STEP)),
				net.jqwik.api.Tuple.of(5, Arbitraries.just(Kind.APPEND)),
				net.jqwik.api.Tuple.of(1, Arbitraries.of(Kind.class)));
		return Combinators.combine(kinds, Arbitraries.integers().between(0, OWNERS - 1))
			.as(Event::new)
			.list()
			.ofMinSize(20)
			.ofMaxSize(300);
	}

	enum Kind {

		APPEND, STEP, LOSE_REPLY, LOSE_CALL, APPLY_LATE, TAKE_OVER

	}

	record Event(Kind kind, int owner) {
	}

}
