package io.lentilstream.tasks;

import java.time.Duration;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that tasks are not placed again beside tasks that slowed them down, and that this
 * separation ends after a time without new observations.
 */
class InterferenceTests {

	private final ShardSimulation simulation = new ShardSimulation(2, TaskDefaults.settings());

	private String noisyVm;

	@BeforeEach
	void observeSlowdown() {
		this.simulation.run(1);
		submit("noisy", "grind", 1);
		this.simulation.run(1);
		this.noisyVm = this.simulation.vmsOf(ShardSimulation.TEAM, "noisy").get(0);
		submit("first", "render", 2);
		this.simulation.run(1);
		for (TaskView task : this.simulation.owner.shard.tasks(ShardSimulation.TEAM, new JobId("first"))) {
			FakeWorker worker = this.simulation.workerOf(task.task()).orElseThrow();
			boolean slowedDown = worker.vm.value().equals(this.noisyVm);
			worker.attempts.get(task.task()).measure(new Resources(500, 512, 0), slowedDown ? 3 : 1);
		}
		assertThat(this.simulation.vmsOf(ShardSimulation.TEAM, "first")).contains(this.noisyVm);
		this.simulation.run(40);
	}

	@Test
	void separatesTasksAfterAReportedSlowdown() {
		submit("second", "render", 6);
		this.simulation.run(1);
		assertThat(this.simulation.vmsOf(ShardSimulation.TEAM, "second")).hasSize(6).doesNotContain(this.noisyVm);
	}

	@Test
	void placesTasksTogetherAgainAfterSeveralHalfLives() {
		this.simulation.cancel("first");
		this.simulation.run(1);
		this.simulation.runFor(Duration.ofMinutes(55));
		submit("second", "render", 6);
		this.simulation.run(1);
		assertThat(this.simulation.vmsOf(ShardSimulation.TEAM, "second")).hasSize(6).contains(this.noisyVm);
	}

	private void submit(String key, String program, int count) {
		this.simulation.submit(JobSubmission.ofEqualTasks(ShardSimulation.TEAM, new JobId(key), Urgency.BATCH, program,
				new Resources(1000, 1024, 0), count));
	}

}
