package io.lentilstream.tasks;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a snapshot that grows with waiting, ended or forgotten work beyond what
 * recovery needs. A chunk of a snapshot holds 1 MB.
 */
class SnapshotSizeTests {

	private static final int LARGEST_JOB = 100;

	private static final int LARGEST_PLACED_TASK = 40;

	private static final int LARGEST_ENDED_TASK = 10;

	@ParameterizedTest(name = "{0} jobs of {1} tasks")
	@CsvSource({ "1, 100000", "100, 1000", "1000, 1" })
	void holdsWaitingTasksWithoutSpaceAndEndedOnesWithLittle(int jobs, int tasks) {
		ShardWorld world = new ShardWorld(4, TaskDefaults.settings());
		world.run(1);
		for (int i = 0; i < jobs; i++) {
			world.submit(ShardWorld.job("job-" + i, Urgency.BATCH, 1, tasks));
		}
		world.run(1);
		int placed = world.owner.shard.counts(world.now).states().get(TaskState.RUNNING);
		assertThat(world.owner.shard.snapshot().length).isLessThan(jobs * LARGEST_JOB + placed * LARGEST_PLACED_TASK);
		world.finishAll();
		world.run(11);
		int done = world.owner.shard.counts(world.now).states().get(TaskState.DONE);
		assertThat(done).isEqualTo(placed);
		assertThat(world.owner.shard.snapshot().length)
			.isLessThan(jobs * LARGEST_JOB + placed * LARGEST_PLACED_TASK + done * LARGEST_ENDED_TASK);
	}

	@ParameterizedTest
	@CsvSource({ "50, false", "62, true" })
	void dropsEndedJobsAfterTheRetentionTime(int minutes, boolean dropped) {
		ShardWorld world = new ShardWorld(4, TaskDefaults.settings());
		world.run(1);
		int empty = world.owner.shard.snapshot().length;
		world.submit(ShardWorld.job("job", Urgency.BATCH, 1, 10));
		world.run(1);
		world.cancel("job");
		world.run(1);
		world.accepted.clear();
		world.pass(Duration.ofMinutes(minutes));
		assertThat(world.owner.shard.snapshot().length == empty).isEqualTo(dropped);
	}

}
