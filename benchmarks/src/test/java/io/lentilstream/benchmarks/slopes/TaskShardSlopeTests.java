package io.lentilstream.benchmarks.slopes;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a measurement of a shard that started only a part of its tasks, or that
 * stopped renewing them.
 */
class TaskShardSlopeTests {

	@Test
	void startsEveryTaskOnceAndRenewsEveryWorker() {
		TaskShardRun run = TaskShardRun.fill(4, 40);
		assertThat(run.starts()).isEqualTo(40);
		assertThat(run.running().values().stream().mapToInt(List::size).sum()).isEqualTo(40);
		run.idle(30);
		assertThat(run.renewals()).isGreaterThanOrEqualTo(2 * run.running().size());
	}

	@Test
	void measuresTinySizes() {
		List<Slope> slopes = new TaskShardSlope(new int[] { 2, 4 }, new int[] { 20, 40 }, 5, 1).measure();
		assertThat(slopes).extracting(Slope::name)
			.containsExactly("placement-cpu-by-workers", "placement-cpu-by-tasks", "running-shard-cpu",
					"task-shard-memory-by-tasks", "task-shard-memory-by-workers", "task-shard-snapshot");
		assertThat(slopes).allSatisfy((slope) -> assertThat(slope.points()).hasSize(2));
		assertThat(slopes.get(5).fit().slope()).isPositive();
	}

}
