package io.lentilstream.tasks;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a task that crashes each worker that starts it is given up, and the tasks
 * that share its workers are not.
 */
class CrashedWorkerTests {

	private final ShardSimulation simulation = new ShardSimulation(6, TaskDefaults.settings());

	@Test
	void aTaskThatCrashesWorkerAfterWorkerIsGivenUp() {
		List<String> others = submitOthers(12);
		submit("deadly", "deadly");
		this.simulation.run(120);
		JobView job = this.simulation.owner.shard.job(ShardSimulation.TEAM, new JobId("deadly")).orElseThrow();
		assertThat(job.ended()).isTrue();
		assertThat(job.problem().orElse("")).contains("crashed under a task");
		assertThat(crashes()).isBetween(3, 5);
		assertThat(others).allSatisfy(
				(other) -> assertThat(this.simulation.stateOf(other, 0)).isIn(TaskState.RUNNING, TaskState.RESUMED));
	}

	@Test
	void tasksOfWorkersThatCrashByThemselvesAreNotGivenUp() {
		List<String> others = submitOthers(6);
		for (int round = 0; round < 12; round++) {
			this.simulation.workers.get("vm-" + round % 6).crash();
			this.simulation.run(20);
		}
		assertThat(others).allSatisfy(
				(other) -> assertThat(this.simulation.stateOf(other, 0)).isIn(TaskState.RUNNING, TaskState.RESUMED));
	}

	private List<String> submitOthers(int count) {
		this.simulation.run(1);
		this.simulation.workers.values().forEach((worker) -> worker.deadlyProgram = "deadly");
		List<String> keys = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			keys.add("other-" + i);
			submit("other-" + i, ShardSimulation.PROGRAM);
		}
		this.simulation.run(5);
		return keys;
	}

	private void submit(String key, String program) {
		this.simulation.submit(JobSubmission.ofEqualTasks(ShardSimulation.TEAM, new JobId(key), Urgency.BATCH, program,
				new Resources(1000, 512, 0), 1));
	}

	private int crashes() {
		return this.simulation.workers.values().stream().mapToInt((worker) -> worker.crashes).sum();
	}

}
