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
 * Guards against a request that runs twice or is falsely reported as "not run", after a
 * crash at any step and after sequences of faults.
 */
class RecordSequenceTests {

	@Property(tries = 3_000, seed = "20261204", shrinking = ShrinkingMode.BOUNDED)
	void runsEachRequestAtMostOnce(@ForAll("events") List<Event> events) {
		RecordSimulation simulation = new RecordSimulation();
		for (Event event : events) {
			RecordKey key = RecordSimulation.key(event.number());
			switch (event.kind()) {
				case OFFER -> simulation.offer(key, event.fault() == RecordSimulation.Fault.NONE);
				case COMMIT -> simulation.commit(true);
				case COMMIT_UNKNOWN -> {
					simulation.commit(false);
					simulation.restartOwner();
				}
				case REJECT_COMMIT -> simulation.rejectCommit();
				case PERFORM_ACTION -> simulation.performAction(event.fault());
				case TICK -> simulation.tick(1_000L << (4 * event.number()));
				case RESTART_OWNER -> simulation.restartOwner();
				case DELIVER_DELAYED -> simulation.deliverDelayed();
				case CANCEL -> simulation.addStep(simulation.records.cancel(simulation.now, key));
				case REMOVE_ENDPOINT -> simulation.removeEndpoint(event.number());
				case SNAPSHOT -> simulation.takeSnapshot();
			}
			simulation.checkInvariants();
		}
	}

	@ParameterizedTest
	@EnumSource(RecordSimulation.Fault.class)
	void completesEachRequestAfterACrashAtEachStep(RecordSimulation.Fault fault) {
		for (int crashAt = 0; crashAt < 12; crashAt++) {
			for (boolean durable : new boolean[] { true, false }) {
				RecordSimulation simulation = new RecordSimulation();
				RecordKey key = RecordSimulation.key(0);
				simulation.offer(key, true);
				for (int i = 0; i < 30; i++) {
					if (i == crashAt) {
						if (durable) {
							simulation.commit(false);
						}
						simulation.restartOwner();
						simulation.offer(key, false);
					}
					simulation.commit(true);
					simulation.performAction((i <= crashAt) ? fault : RecordSimulation.Fault.NONE);
					simulation.tick(1_000);
					simulation.deliverDelayed();
					simulation.checkInvariants();
				}
				assertThat(simulation.runs).as("crash at %d", crashAt).containsEntry(key, 1);
				assertThat(simulation.outcomes.get(key)).hasSize(1)
					.hasOnlyElementsOfType(RequestOutcome.Answered.class);
			}
		}
	}

	@Provide
	Arbitrary<List<Event>> events() {
		Arbitrary<Kind> kinds = Arbitraries.frequencyOf(
				net.jqwik.api.Tuple.of(6, Arbitraries.just(Kind.PERFORM_ACTION)),
				net.jqwik.api.Tuple.of(5, Arbitraries.just(Kind.COMMIT)),
				net.jqwik.api.Tuple.of(2, Arbitraries.just(Kind.OFFER)),
				net.jqwik.api.Tuple.of(4, Arbitraries.of(Kind.class)));
		return Combinators
			.combine(kinds, Arbitraries.integers().between(0, 2), Arbitraries.of(RecordSimulation.Fault.class))
			.as(Event::new)
			.list()
			.ofMinSize(10)
			.ofMaxSize(80);
	}

	enum Kind {

		OFFER, COMMIT, COMMIT_UNKNOWN, REJECT_COMMIT, PERFORM_ACTION, TICK, RESTART_OWNER, DELIVER_DELAYED, CANCEL,
		REMOVE_ENDPOINT, SNAPSHOT

	}

	record Event(Kind kind, int number, RecordSimulation.Fault fault) {
	}

}
