package io.lentilstream.requests.records;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import io.lentilstream.model.RequestOutcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a second run and a false "not run" after a crash at any step and after
 * sequences of faults.
 */
class RecordSequenceTests {

	@Property(tries = 3_000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
	void runsEachRequestAtMostOnce(@ForAll("events") List<Event> events) {
		RecordWorld world = new RecordWorld();
		for (Event event : events) {
			RecordKey key = RecordWorld.key(event.number());
			switch (event.kind()) {
				case OFFER -> world.offer(key, event.fault() == RecordWorld.Fault.NONE);
				case COMMIT -> world.commit(true);
				case COMMIT_UNKNOWN -> {
					world.commit(false);
					world.crash();
				}
				case REFUSE -> world.refuse();
				case ACT -> world.act(event.fault());
				case TICK -> world.tick(1_000L << (4 * event.number()));
				case CRASH -> world.crash();
				case ARRIVE_LATE -> world.arriveLate();
				case CANCEL -> world.take(world.records.cancel(world.now, key));
				case REMOVE_ENDPOINT -> world.removeEndpoint(event.number());
				case SNAPSHOT -> world.takeSnapshot();
			}
			world.check();
		}
	}

	@ParameterizedTest
	@EnumSource(RecordWorld.Fault.class)
	void settlesEachRequestAfterACrashAtEachStep(RecordWorld.Fault fault) {
		for (int crashAt = 0; crashAt < 12; crashAt++) {
			for (boolean durable : new boolean[] { true, false }) {
				RecordWorld world = new RecordWorld();
				RecordKey key = RecordWorld.key(0);
				world.offer(key, true);
				for (int i = 0; i < 30; i++) {
					if (i == crashAt) {
						if (durable) {
							world.commit(false);
						}
						world.crash();
						world.offer(key, false);
					}
					world.commit(true);
					world.act((i <= crashAt) ? fault : RecordWorld.Fault.NONE);
					world.tick(1_000);
					world.arriveLate();
					world.check();
				}
				assertThat(world.runs).as("crash at %d", crashAt).containsEntry(key, 1);
				assertThat(world.told.get(key)).hasSize(1).hasOnlyElementsOfType(RequestOutcome.Answered.class);
			}
		}
	}

	@Provide
	Arbitrary<List<Event>> events() {
		Arbitrary<Kind> kinds = Arbitraries.frequencyOf(net.jqwik.api.Tuple.of(6, Arbitraries.just(Kind.ACT)),
				net.jqwik.api.Tuple.of(5, Arbitraries.just(Kind.COMMIT)),
				net.jqwik.api.Tuple.of(2, Arbitraries.just(Kind.OFFER)),
				net.jqwik.api.Tuple.of(4, Arbitraries.of(Kind.class)));
		return Combinators.combine(kinds, Arbitraries.integers().between(0, 2), Arbitraries.of(RecordWorld.Fault.class))
			.as(Event::new)
			.list()
			.ofMinSize(10)
			.ofMaxSize(80);
	}

	enum Kind {

		OFFER, COMMIT, COMMIT_UNKNOWN, REFUSE, ACT, TICK, CRASH, ARRIVE_LATE, CANCEL, REMOVE_ENDPOINT, SNAPSHOT

	}

	record Event(Kind kind, int number, RecordWorld.Fault fault) {
	}

}
