package io.lentilstream.tasks;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that an overloaded VM is relieved, that tasks are throttled rather than evicted
 * where that suffices, and that the cheapest task is evicted.
 */
class OverloadTests {

	private final ShardSimulation simulation = new ShardSimulation(1, TaskDefaults.settings());

	private final FakeWorker worker = this.simulation.workers.get("vm-0");

	@ParameterizedTest(name = "use {0}, {1}, slowdown {2} for {3} s")
	@CsvSource({ "1000, 1000, 1, 80, 0, 0", "3000, 1000, 1, 12, 1, 0", "1000, 1000, 1.2, 80, 0, 0",
			"1000, 1000, 1.3, 12, 1, 0", "3000, 1000, 1, 62, 2, 1", "1000, 3700, 1, 12, 0, 1" })
	void throttlesFirstAndThenEvicts(int cores, int memory, double slowdown, int seconds, int throttles,
			int evictions) {
		this.simulation.run(1);
		submit("proof", Urgency.URGENT);
		submit("first", Urgency.BATCH);
		submit("second", Urgency.BATCH);
		this.simulation.run(1);
		this.simulation.measure("proof", new Resources(1000, 1000, 0), slowdown);
		this.simulation.measure("first", new Resources(cores, memory, 0), 1);
		this.simulation.measure("second", new Resources(cores + 900, memory, 0), 1);
		this.worker.checkpointsHang = true;
		// In the cases with a high CPU load, the cores add up to more than 98% of the VM.
		if (cores > 1000) {
			this.simulation.measure("proof", new Resources(2000, 1000, 0), slowdown);
		}
		this.simulation.run(seconds);
		assertThat(this.worker.throttles).hasSizeGreaterThanOrEqualTo(Math.min(1, throttles));
		assertThat(this.simulation.owner.shard.counts(this.simulation.now).evictions()).isEqualTo(evictions);
		assertThat(this.simulation.owner.shard.counts(this.simulation.now).throttles() > 0).isEqualTo(throttles > 0);
	}

	@Test
	void evictsTheTaskThatCostsLeast() {
		this.simulation.run(1);
		submit("deferrable", Urgency.DEFERRABLE);
		submit("old", Urgency.BATCH);
		this.simulation.run(60);
		submit("young", Urgency.BATCH);
		this.simulation.run(1);
		for (String job : new String[] { "deferrable", "old", "young" }) {
			this.simulation.measure(job, new Resources(1000, 2800, 0), 1);
		}
		this.simulation.run(11);
		assertThat(this.simulation.stateOf("young", 0)).isNotEqualTo(TaskState.RUNNING);
		assertThat(this.simulation.stateOf("old", 0)).isEqualTo(TaskState.RUNNING);
		assertThat(this.simulation.stateOf("deferrable", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void evictsABatchTaskBeforeAYoungerDeferrableOne() {
		this.simulation.run(1);
		submit("batch", Urgency.BATCH);
		this.simulation.run(60);
		submit("deferrable", Urgency.DEFERRABLE);
		this.simulation.run(1);
		this.simulation.measure("batch", new Resources(1000, 4100, 0), 1);
		this.simulation.measure("deferrable", new Resources(1000, 4100, 0), 1);
		this.simulation.run(11);
		assertThat(this.simulation.stateOf("batch", 0)).isNotEqualTo(TaskState.RUNNING);
		assertThat(this.simulation.stateOf("deferrable", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void evictsNothingMoreUntilTheFirstTaskHasStopped() {
		this.simulation.run(1);
		submit("first", Urgency.BATCH);
		submit("second", Urgency.BATCH);
		submit("gone", Urgency.BATCH);
		this.simulation.run(1);
		this.simulation.measure("first", new Resources(1000, 4100, 0), 1);
		this.simulation.measure("second", new Resources(1000, 4100, 0), 1);
		this.worker.checkpointsHang = true;
		this.simulation.run(12);
		assertThat(this.simulation.owner.shard.counts(this.simulation.now).evictions()).isOne();
		// An unsolicited report makes the owner ask the worker for all its tasks.
		this.worker.attempts.get(this.simulation.id(3, 0)).state = TaskReport.State.STOPPED;
		this.simulation.deliverReports(this.worker);
		this.simulation.run(3);
		assertThat(this.simulation.owner.shard.counts(this.simulation.now).evictions()).isOne();
	}

	@Test
	void liftsThrottlesWhenTheLoadIsLow() {
		this.simulation.run(1);
		submit("first", Urgency.BATCH);
		this.simulation.run(1);
		this.simulation.measure("first", new Resources(9000, 1000, 0), 1);
		this.simulation.run(25);
		assertThat(this.worker.throttles.values()).containsExactly(0.5);
		this.simulation.measure("first", new Resources(500, 1000, 0), 1);
		this.simulation.run(11);
		assertThat(this.worker.throttles.values()).containsExactly(1.0);
	}

	@Test
	void retriesToLiftAThrottleWhenTheCommandWasLost() {
		this.simulation.run(1);
		submit("first", Urgency.BATCH);
		this.simulation.run(1);
		this.simulation.measure("first", new Resources(9000, 1000, 0), 1);
		this.simulation.run(25);
		this.simulation.measure("first", new Resources(500, 1000, 0), 1);
		this.worker.dropsThrottles = true;
		this.simulation.run(11);
		assertThat(this.worker.throttles.values()).containsExactly(0.5);
		this.worker.dropsThrottles = false;
		this.simulation.run(15);
		assertThat(this.worker.throttles.values()).containsExactly(1.0);
	}

	private void submit(String key, Urgency urgency) {
		this.simulation.submit(JobSubmission.ofEqualTasks(ShardSimulation.TEAM, new JobId(key), urgency, key,
				new Resources(1000, 1000, 0), 1));
	}

}
