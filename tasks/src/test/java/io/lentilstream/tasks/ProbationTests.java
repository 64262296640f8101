package io.lentilstream.tasks;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a worker that fails everything and still gets work, that gets more than
 * one probe, or that never gets work again; and against a job that can never run and
 * takes workers with it.
 */
class ProbationTests {

	private static final String BAD = "vm-0";

	private final ShardWorld world = new ShardWorld(4, TaskDefaults.settings());

	private final FakeWorker bad = this.world.workers.get(BAD);

	@BeforeEach
	void start() {
		this.world.run(1);
	}

	@Test
	void givesNoWorkDuringProbationAndOneProbeAfterIt() {
		this.world.putOnProbation(this.bad);
		int runs = this.bad.runs.size();
		submit("later", 8);
		this.world.run(35);
		assertThat(this.bad.runs).hasSize(runs);
		this.bad.failures.clear();
		this.world.run(30);
		submit("last", 16);
		this.world.run(5);
		assertThat(this.bad.running()).hasSize(1);
		assertThat(onProbation()).isOne();
		this.world.finishAll();
		this.world.run(15);
		assertThat(onProbation()).isZero();
		submit("next", 12);
		this.world.run(5);
		assertThat(this.bad.running()).hasSizeGreaterThan(1);
	}

	@Test
	void putsAWorkerBackOnProbationWhenItsProbeFails() {
		this.world.putOnProbation(this.bad);
		this.world.run(70);
		int runs = this.bad.runs.size();
		submit("probe", 24);
		this.world.run(50);
		assertThat(this.bad.runs).hasSize(runs + 1);
		assertThat(onProbation()).isOne();
	}

	@Test
	void takesAProbeForPassedOnlyAfterItRanForTheProbationTime() {
		this.world.putOnProbation(this.bad);
		this.bad.failures.clear();
		this.world.run(180);
		submit("probe", 24);
		this.world.run(50);
		assertThat(this.bad.running()).hasSize(1);
		assertThat(onProbation()).isOne();
		this.world.run(30);
		assertThat(onProbation()).isZero();
	}

	@Test
	void allowsAnotherProbeWhenTheProbeEndsWithoutAVerdict() {
		this.world.putOnProbation(this.bad);
		this.bad.failures.clear();
		this.world.run(70);
		submit("probe", 24);
		this.world.run(2);
		this.world.cancel("probe");
		this.world.run(5);
		submit("second", 24);
		this.world.run(2);
		assertThat(this.bad.running()).hasSize(1);
	}

	@Test
	void keepsWorkersThatOnlyOneBrokenJobFailedOn() {
		this.world.workers.values().forEach((worker) -> worker.failures.put("broken", "bad input"));
		this.world.submit(JobSubmission.ofEqualTasks(ShardWorld.TEAM, new JobId("broken"), Urgency.BATCH, "broken",
				new Resources(1000, 1024, 0), 8));
		this.world.run(20);
		assertThat(this.world.stateOf("broken", 0)).isEqualTo(TaskState.FAILED);
		assertThat(onProbation()).isZero();
	}

	private void submit(String key, int count) {
		this.world.submit(ShardWorld.job(key, Urgency.BATCH, 1, count));
	}

	private int onProbation() {
		return this.world.owner.shard.counts(this.world.now).workersOnProbation();
	}

}
