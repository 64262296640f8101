package io.lentilstream.tasks;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the size of a snapshot is bounded: pending tasks take no space, ended tasks
 * little and dropped jobs none. A chunk of a snapshot holds 1 MB.
 */
class SnapshotSizeTests {

	private static final int MAX_BYTES_PER_JOB = 100;

	private static final int MAX_BYTES_PER_PLACED_TASK = 40;

	private static final int MAX_BYTES_PER_ENDED_TASK = 10;

	@ParameterizedTest(name = "{0} jobs of {1} tasks")
	@CsvSource({ "1, 100000", "100, 1000", "1000, 1" })
	void usesNoSpaceForPendingTasksAndLittleForEndedOnes(int jobs, int tasks) {
		ShardSimulation simulation = new ShardSimulation(4, TaskDefaults.settings());
		simulation.run(1);
		for (int i = 0; i < jobs; i++) {
			simulation.submit(ShardSimulation.job("job-" + i, Urgency.BATCH, 1, tasks));
		}
		simulation.run(1);
		int placed = simulation.owner.shard.counts(simulation.now).states().get(TaskState.RUNNING);
		assertThat(simulation.owner.shard.snapshot().length)
			.isLessThan(jobs * MAX_BYTES_PER_JOB + placed * MAX_BYTES_PER_PLACED_TASK);
		simulation.finishAll();
		simulation.run(11);
		int done = simulation.owner.shard.counts(simulation.now).states().get(TaskState.DONE);
		assertThat(done).isEqualTo(placed);
		assertThat(simulation.owner.shard.snapshot().length).isLessThan(
				jobs * MAX_BYTES_PER_JOB + placed * MAX_BYTES_PER_PLACED_TASK + done * MAX_BYTES_PER_ENDED_TASK);
	}

	@ParameterizedTest
	@CsvSource({ "50, false", "62, true" })
	void dropsEndedJobsAfterTheRetentionTime(int minutes, boolean dropped) {
		ShardSimulation simulation = new ShardSimulation(4, TaskDefaults.settings());
		simulation.run(1);
		int emptySize = simulation.owner.shard.snapshot().length;
		simulation.submit(ShardSimulation.job("job", Urgency.BATCH, 1, 10));
		simulation.run(1);
		simulation.cancel("job");
		simulation.run(1);
		simulation.accepted.clear();
		simulation.runFor(Duration.ofMinutes(minutes));
		assertThat(simulation.owner.shard.snapshot().length == emptySize).isEqualTo(dropped);
	}

}
