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
 * Tests that a job with a task larger than every VM fails after a timeout instead of
 * waiting forever, and that it starts if a larger VM is listed in time.
 */
class UnplaceableTests {

	private final ShardSimulation simulation = new ShardSimulation(2, TaskDefaults.settings());

	@ParameterizedTest
	@CsvSource({ "7200, 1024, 1, BATCH, true", "7201, 1024, 1, BATCH, false", "8000, 8192, 1, URGENT, true",
			"8001, 1024, 0, URGENT, false", "1000, 8193, 0, URGENT, false", "1000, 1024, 2, BATCH, false" })
	void refusesATaskThatIsLargerThanEveryVm(long cores, long memory, long accelerators, Urgency urgency,
			boolean fits) {
		this.simulation.run(1);
		this.simulation.submit(JobSubmission.ofEqualTasks(ShardSimulation.TEAM, new JobId("large"), urgency, "large",
				new Resources(cores, memory, accelerators), 1));
		this.simulation.run(1);
		assertThat(this.simulation.owner.shard.job(ShardSimulation.TEAM, new JobId("large")).isPresent())
			.isEqualTo(fits);
	}

	@ParameterizedTest
	@CsvSource({ "58, false", "65, true" })
	void failsAJobAfterTheTimeoutOnceNoListedVmIsLargeEnough(int seconds, boolean failed) {
		this.simulation.run(1);
		this.simulation.submit(ShardSimulation.job("filler", Urgency.BATCH, 7, 2));
		this.simulation.submit(ShardSimulation.job("job", Urgency.BATCH, 7, 1));
		// Waiting for free capacity does not count towards the timeout for a larger VM.
		this.simulation.run(90);
		shrink();
		this.simulation.run(seconds);
		assertThat(this.simulation.stateOf("job", 0)).isEqualTo(failed ? TaskState.FAILED : TaskState.PENDING);
	}

	@Test
	void startsAJobWhenALargerVmIsListedInTime() {
		this.simulation.run(1);
		this.simulation.submit(ShardSimulation.job("filler", Urgency.BATCH, 7, 2));
		this.simulation.submit(ShardSimulation.job("job", Urgency.BATCH, 7, 1));
		this.simulation.run(5);
		shrink();
		this.simulation.run(50);
		this.simulation.cancel("filler");
		this.simulation.workers.values().forEach((worker) -> worker.listed = worker.capacity);
		this.simulation.updateWorkers();
		this.simulation.run(20);
		assertThat(this.simulation.stateOf("job", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void startsTasksWhoseLearnedSizeIsAboveTheHardLimit() {
		this.simulation.run(1);
		this.simulation.owner.process(this.simulation.owner.shard.updateQuotas(
				List.of(new TeamQuota(ShardSimulation.TEAM, new Resources(2000, 8000, 0), 1)), this.simulation.now),
				this.simulation.now);
		this.simulation.submit(ShardSimulation.job("first", Urgency.BATCH, 1, 2));
		this.simulation.run(1);
		this.simulation.measure("first", new Resources(3900, 512, 0), 1);
		this.simulation.run(40);
		this.simulation.finishAll();
		this.simulation.run(12);
		this.simulation.submit(ShardSimulation.job("second", Urgency.BATCH, 1, 1));
		this.simulation.run(2);
		assertThat(this.simulation.stateOf("second", 0)).isEqualTo(TaskState.RUNNING);
	}

	private void shrink() {
		this.simulation.workers.values().forEach((worker) -> worker.listed = new Resources(6000, 8192, 1));
		this.simulation.shrunkVms.addAll(this.simulation.workers.keySet());
		this.simulation.updateWorkers();
	}

}
