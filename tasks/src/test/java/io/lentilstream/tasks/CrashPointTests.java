package io.lentilstream.tasks;

import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that no work is lost or repeated if the owner crashes between any two effects: an
 * append, the delivery of a command or the delivery of an outcome. Tries every crash
 * point, with and without a worker that is unreachable during the takeover.
 */
class CrashPointTests {

	// A run without faults has fewer effects; the last points crash after all of them.
	private static final int CRASH_POINTS = 60;

	static Stream<Arguments> crashPoints() {
		return IntStream.range(0, CRASH_POINTS)
			.boxed()
			.flatMap((point) -> Stream.of(Arguments.of(point, false), Arguments.of(point, true)));
	}

	@ParameterizedTest
	@MethodSource("crashPoints")
	void keepsItsGuaranteesWhenTheOwnerCrashesAtAnyPoint(int point, boolean unreachable) {
		ShardSimulation simulation = new ShardSimulation(2, TestSettings.shortGrace());
		simulation.run(1);
		simulation.submit(ShardSimulation.job("nightly", Urgency.BATCH, 3, 3));
		simulation.leavingVms.add("vm-0");
		int effects = 0;
		for (int round = 0; round < 40 && effects < point; round++) {
			if (round == 12) {
				simulation.updateWorkers();
			}
			while (effects < point && step(simulation)) {
				effects++;
			}
			simulation.advance(java.time.Duration.ofMillis(100));
		}
		simulation.workers.get("vm-0").setReachable(!unreachable);
		simulation.advance(ShardSimulation.ENTRY_LEASE.plusMillis(1));
		simulation.takeOver(false, true);
		simulation.run(5);
		simulation.workers.get("vm-0").setReachable(true);
		for (int round = 0; round < 30; round++) {
			simulation.run(5);
			simulation.finishAll();
		}
		for (JobView job : simulation.owner.shard.jobs()) {
			assertThat(job.ended()).as(job.toString()).isTrue();
			assertThat(job.tasks()).containsOnlyKeys(TaskState.DONE);
		}
		assertThat(simulation.owner.shard.commitments()).allMatch((commitment) -> commitment.tasks() == 0);
	}

	private static boolean step(ShardSimulation simulation) {
		FakeOwner owner = simulation.owner;
		if (!owner.uncommitted.isEmpty()) {
			simulation.commit(owner, true);
		}
		else if (!owner.outbox.isEmpty()) {
			simulation.deliverCommand(owner, 0, true);
		}
		else if (!owner.inbox.isEmpty()) {
			simulation.deliverOutcome(owner, 0);
		}
		else {
			return false;
		}
		return true;
	}

}
