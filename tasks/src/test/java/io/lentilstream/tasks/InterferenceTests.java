package io.lentilstream.tasks;

import java.time.Duration;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against tasks that are placed again next to tasks that slowed them down, and
 * against a separation that outlives its reason.
 */
class InterferenceTests {

	private final ShardWorld world = new ShardWorld(2, TaskDefaults.settings());

	private String noisyVm;

	@BeforeEach
	void learn() {
		this.world.run(1);
		submit("noisy", "grind", 1);
		this.world.run(1);
		this.noisyVm = this.world.vmsOf(ShardWorld.TEAM, "noisy").get(0);
		submit("first", "render", 2);
		this.world.run(1);
		for (TaskView task : this.world.owner.shard.tasks(ShardWorld.TEAM, new JobId("first"))) {
			FakeWorker worker = this.world.workerOf(task.task()).orElseThrow();
			boolean disturbed = worker.vm.value().equals(this.noisyVm);
			worker.runs.get(task.task()).measure(new Resources(500, 512, 0), disturbed ? 3 : 1);
		}
		assertThat(this.world.vmsOf(ShardWorld.TEAM, "first")).contains(this.noisyVm);
		this.world.run(40);
	}

	@Test
	void keepsTasksApartAfterALateReportOfASlowdown() {
		submit("second", "render", 6);
		this.world.run(1);
		assertThat(this.world.vmsOf(ShardWorld.TEAM, "second")).hasSize(6).doesNotContain(this.noisyVm);
	}

	@Test
	void placesThemTogetherAgainAfterManyHalfLives() {
		this.world.cancel("first");
		this.world.run(1);
		this.world.pass(Duration.ofMinutes(55));
		submit("second", "render", 6);
		this.world.run(1);
		assertThat(this.world.vmsOf(ShardWorld.TEAM, "second")).hasSize(6).contains(this.noisyVm);
	}

	private void submit(String key, String program, int count) {
		this.world.submit(JobSubmission.ofEqualTasks(ShardWorld.TEAM, new JobId(key), Urgency.BATCH, program,
				new Resources(1000, 1024, 0), count));
	}

}
