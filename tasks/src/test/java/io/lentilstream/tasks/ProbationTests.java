package io.lentilstream.tasks;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a worker on which every task fails gets no work but one probe task at a time
 * until a probe passes, and that a single broken job puts no worker on probation.
 */
class ProbationTests {

	private static final String FAILING_VM = "vm-0";

	private final ShardSimulation simulation = new ShardSimulation(4, TaskDefaults.settings());

	private final FakeWorker failingWorker = this.simulation.workers.get(FAILING_VM);

	@BeforeEach
	void start() {
		this.simulation.run(1);
	}

	@Test
	void givesNoWorkDuringProbationAndOneProbeAfterIt() {
		this.simulation.putOnProbation(this.failingWorker);
		int attempts = this.failingWorker.attempts.size();
		submit("later", 8);
		this.simulation.run(35);
		assertThat(this.failingWorker.attempts).hasSize(attempts);
		this.failingWorker.failures.clear();
		this.simulation.run(30);
		submit("last", 16);
		this.simulation.run(5);
		assertThat(this.failingWorker.running()).hasSize(1);
		assertThat(onProbation()).isOne();
		this.simulation.finishAll();
		this.simulation.run(15);
		assertThat(onProbation()).isZero();
		submit("next", 12);
		this.simulation.run(5);
		assertThat(this.failingWorker.running()).hasSizeGreaterThan(1);
	}

	@Test
	void putsAWorkerBackOnProbationWhenItsProbeFails() {
		this.simulation.putOnProbation(this.failingWorker);
		this.simulation.run(70);
		int attempts = this.failingWorker.attempts.size();
		submit("probe", 24);
		this.simulation.run(50);
		assertThat(this.failingWorker.attempts).hasSize(attempts + 1);
		assertThat(onProbation()).isOne();
	}

	@Test
	void passesAProbeOnlyAfterItRanForTheProbationTime() {
		this.simulation.putOnProbation(this.failingWorker);
		this.failingWorker.failures.clear();
		this.simulation.run(180);
		submit("probe", 24);
		this.simulation.run(50);
		assertThat(this.failingWorker.running()).hasSize(1);
		assertThat(onProbation()).isOne();
		this.simulation.run(30);
		assertThat(onProbation()).isZero();
	}

	@Test
	void allowsAnotherProbeWhenTheProbeEndsWithoutAVerdict() {
		this.simulation.putOnProbation(this.failingWorker);
		this.failingWorker.failures.clear();
		this.simulation.run(70);
		submit("probe", 24);
		this.simulation.run(2);
		this.simulation.cancel("probe");
		this.simulation.run(5);
		submit("second", 24);
		this.simulation.run(2);
		assertThat(this.failingWorker.running()).hasSize(1);
	}

	@Test
	void putsNoWorkerOnProbationBecauseOfASingleBrokenJob() {
		this.simulation.workers.values().forEach((worker) -> worker.failures.put("broken", "bad input"));
		this.simulation.submit(JobSubmission.ofEqualTasks(ShardSimulation.TEAM, new JobId("broken"), Urgency.BATCH,
				"broken", new Resources(1000, 1024, 0), 8));
		this.simulation.run(20);
		assertThat(this.simulation.stateOf("broken", 0)).isEqualTo(TaskState.FAILED);
		assertThat(onProbation()).isZero();
	}

	private void submit(String key, int count) {
		this.simulation.submit(ShardSimulation.job(key, Urgency.BATCH, 1, count));
	}

	private int onProbation() {
		return this.simulation.owner.shard.counts(this.simulation.now).workersOnProbation();
	}

}
