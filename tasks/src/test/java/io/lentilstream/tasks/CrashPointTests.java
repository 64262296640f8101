package io.lentilstream.tasks;

import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost or repeated work when the owner dies at any point between two
 * effects: an append, a command that arrives, an outcome that arrives. Every point is
 * tried, with and without a worker that is cut off during the takeover.
 */
class CrashPointTests {

	// The fault-free run has fewer effects; the last points crash after all of them.
	private static final int POINTS = 60;

	static Stream<Arguments> crashPoints() {
		return IntStream.range(0, POINTS)
			.boxed()
			.flatMap((point) -> Stream.of(Arguments.of(point, false), Arguments.of(point, true)));
	}

	@ParameterizedTest
	@MethodSource("crashPoints")
	void keepsItsGuaranteesWhenTheOwnerDiesAtAnyPoint(int point, boolean cutOff) {
		ShardWorld world = new ShardWorld(2, TestSettings.shortGrace());
		world.run(1);
		world.submit(ShardWorld.job("nightly", Urgency.BATCH, 3, 3));
		world.leaving.add("vm-0");
		int effects = 0;
		for (int round = 0; round < 40 && effects < point; round++) {
			if (round == 12) {
				world.list();
			}
			while (effects < point && step(world)) {
				effects++;
			}
			world.advance(java.time.Duration.ofMillis(100));
		}
		world.workers.get("vm-0").setReachable(!cutOff);
		world.advance(ShardWorld.ENTRY_LEASE.plusMillis(1));
		world.takeOver(false, true);
		world.run(5);
		world.workers.get("vm-0").setReachable(true);
		for (int round = 0; round < 30; round++) {
			world.run(5);
			world.finishAll();
		}
		for (JobView job : world.owner.shard.jobs()) {
			assertThat(job.ended()).as(job.toString()).isTrue();
			assertThat(job.tasks()).containsOnlyKeys(TaskState.DONE);
		}
		assertThat(world.owner.shard.commitments()).allMatch((commitment) -> commitment.tasks() == 0);
	}

	private static boolean step(ShardWorld world) {
		FakeOwner owner = world.owner;
		if (!owner.uncommitted.isEmpty()) {
			world.commit(owner, true);
		}
		else if (!owner.outbox.isEmpty()) {
			world.deliver(owner, 0, true);
		}
		else if (!owner.inbox.isEmpty()) {
			world.answer(owner, 0);
		}
		else {
			return false;
		}
		return true;
	}

}
