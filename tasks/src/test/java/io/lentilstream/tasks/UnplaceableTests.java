package io.lentilstream.tasks;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a job that is larger than every VM and waits without end, and against a
 * job that fails although a VM that holds it may still be listed.
 */
class UnplaceableTests {

	private final ShardWorld world = new ShardWorld(2, TaskDefaults.settings());

	@ParameterizedTest
	@CsvSource({ "7200, 1024, 1, BATCH, true", "7201, 1024, 1, BATCH, false", "8000, 8192, 1, URGENT, true",
			"8001, 1024, 0, URGENT, false", "1000, 8193, 0, URGENT, false", "1000, 1024, 2, BATCH, false" })
	void refusesATaskThatIsLargerThanEveryVm(long cores, long memory, long accelerators, Urgency urgency,
			boolean fits) {
		this.world.run(1);
		this.world.submit(JobSubmission.ofEqualTasks(ShardWorld.TEAM, new JobId("large"), urgency, "large",
				new Resources(cores, memory, accelerators), 1));
		this.world.run(1);
		assertThat(this.world.owner.shard.job(ShardWorld.TEAM, new JobId("large")).isPresent()).isEqualTo(fits);
	}

	@ParameterizedTest
	@CsvSource({ "58, false", "65, true" })
	void failsAJobSomeTimeAfterTheLastVmThatHoldsItIsGone(int seconds, boolean failed) {
		this.world.run(1);
		this.world.submit(ShardWorld.job("filler", Urgency.BATCH, 7, 2));
		this.world.submit(ShardWorld.job("job", Urgency.BATCH, 7, 1));
		// The job waits for room longer than it may wait for a larger VM.
		this.world.run(90);
		shrink();
		this.world.run(seconds);
		assertThat(this.world.stateOf("job", 0)).isEqualTo(failed ? TaskState.FAILED : TaskState.PENDING);
	}

	@Test
	void startsAJobWhenALargerVmIsListedInTime() {
		this.world.run(1);
		this.world.submit(ShardWorld.job("filler", Urgency.BATCH, 7, 2));
		this.world.submit(ShardWorld.job("job", Urgency.BATCH, 7, 1));
		this.world.run(5);
		shrink();
		this.world.run(50);
		this.world.cancel("filler");
		this.world.workers.values().forEach((worker) -> worker.listed = worker.capacity);
		this.world.list();
		this.world.run(20);
		assertThat(this.world.stateOf("job", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void startsTasksWhoseLearnedSizeIsAboveTheHardLimit() {
		this.world.run(1);
		this.world.owner.take(
				this.world.owner.shard.updateQuotas(
						List.of(new TeamQuota(ShardWorld.TEAM, new Resources(2000, 8000, 0), 1)), this.world.now),
				this.world.now);
		this.world.submit(ShardWorld.job("first", Urgency.BATCH, 1, 2));
		this.world.run(1);
		this.world.measure("first", new Resources(3900, 512, 0), 1);
		this.world.run(40);
		this.world.finishAll();
		this.world.run(12);
		this.world.submit(ShardWorld.job("second", Urgency.BATCH, 1, 1));
		this.world.run(2);
		assertThat(this.world.stateOf("second", 0)).isEqualTo(TaskState.RUNNING);
	}

	private void shrink() {
		this.world.workers.values().forEach((worker) -> worker.listed = new Resources(6000, 8192, 1));
		this.world.shrunk.addAll(this.world.workers.keySet());
		this.world.list();
	}

}
