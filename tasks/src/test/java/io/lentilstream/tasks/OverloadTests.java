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
 * Guards against an overloaded VM that is not relieved, against evictions where a
 * throttle is enough, and against the eviction of a task that is dear to lose.
 */
class OverloadTests {

	private final ShardWorld world = new ShardWorld(1, TaskDefaults.settings());

	private final FakeWorker worker = this.world.workers.get("vm-0");

	@ParameterizedTest(name = "use {0}, {1}, slowdown {2} for {3} s")
	@CsvSource({ "1000, 1000, 1, 80, 0, 0", "3000, 1000, 1, 12, 1, 0", "1000, 1000, 1.2, 80, 0, 0",
			"1000, 1000, 1.3, 12, 1, 0", "3000, 1000, 1, 62, 2, 1", "1000, 3700, 1, 12, 0, 1" })
	void throttlesFirstAndThenEvicts(int cores, int memory, double slowdown, int seconds, int throttles,
			int evictions) {
		this.world.run(1);
		submit("proof", Urgency.URGENT);
		submit("first", Urgency.BATCH);
		submit("second", Urgency.BATCH);
		this.world.run(1);
		this.world.measure("proof", new Resources(1000, 1000, 0), slowdown);
		this.world.measure("first", new Resources(cores, memory, 0), 1);
		this.world.measure("second", new Resources(cores + 900, memory, 0), 1);
		this.worker.checkpointsHang = true;
		// The cores of the first case with load add up to more than 98% of the VM.
		if (cores > 1000) {
			this.world.measure("proof", new Resources(2000, 1000, 0), slowdown);
		}
		this.world.run(seconds);
		assertThat(this.worker.throttles).hasSizeGreaterThanOrEqualTo(Math.min(1, throttles));
		assertThat(this.world.owner.shard.counts(this.world.now).evictions()).isEqualTo(evictions);
		assertThat(this.world.owner.shard.counts(this.world.now).throttles() > 0).isEqualTo(throttles > 0);
	}

	@Test
	void evictsTheTaskThatCostsLeast() {
		this.world.run(1);
		submit("deferrable", Urgency.DEFERRABLE);
		submit("old", Urgency.BATCH);
		this.world.run(60);
		submit("young", Urgency.BATCH);
		this.world.run(1);
		for (String job : new String[] { "deferrable", "old", "young" }) {
			this.world.measure(job, new Resources(1000, 2800, 0), 1);
		}
		this.world.run(11);
		assertThat(this.world.stateOf("young", 0)).isNotEqualTo(TaskState.RUNNING);
		assertThat(this.world.stateOf("old", 0)).isEqualTo(TaskState.RUNNING);
		assertThat(this.world.stateOf("deferrable", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void evictsABatchTaskBeforeAYoungerDeferrableOne() {
		this.world.run(1);
		submit("batch", Urgency.BATCH);
		this.world.run(60);
		submit("deferrable", Urgency.DEFERRABLE);
		this.world.run(1);
		this.world.measure("batch", new Resources(1000, 4100, 0), 1);
		this.world.measure("deferrable", new Resources(1000, 4100, 0), 1);
		this.world.run(11);
		assertThat(this.world.stateOf("batch", 0)).isNotEqualTo(TaskState.RUNNING);
		assertThat(this.world.stateOf("deferrable", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void evictsNothingMoreUntilTheFirstTaskHasStopped() {
		this.world.run(1);
		submit("first", Urgency.BATCH);
		submit("second", Urgency.BATCH);
		submit("gone", Urgency.BATCH);
		this.world.run(1);
		this.world.measure("first", new Resources(1000, 4100, 0), 1);
		this.world.measure("second", new Resources(1000, 4100, 0), 1);
		this.worker.checkpointsHang = true;
		this.world.run(12);
		assertThat(this.world.owner.shard.counts(this.world.now).evictions()).isOne();
		// A report other than as the outcome of a command makes the worker list its
		// tasks.
		this.worker.runs.get(this.world.id(3, 0)).state = TaskReport.State.STOPPED;
		this.world.report(this.worker);
		this.world.run(3);
		assertThat(this.world.owner.shard.counts(this.world.now).evictions()).isOne();
	}

	@Test
	void liftsThrottlesWhenTheLoadIsLow() {
		this.world.run(1);
		submit("first", Urgency.BATCH);
		this.world.run(1);
		this.world.measure("first", new Resources(9000, 1000, 0), 1);
		this.world.run(25);
		assertThat(this.worker.throttles.values()).containsExactly(0.5);
		this.world.measure("first", new Resources(500, 1000, 0), 1);
		this.world.run(11);
		assertThat(this.worker.throttles.values()).containsExactly(1.0);
	}

	@Test
	void liftsAThrottleAgainWhenTheCommandWasLost() {
		this.world.run(1);
		submit("first", Urgency.BATCH);
		this.world.run(1);
		this.world.measure("first", new Resources(9000, 1000, 0), 1);
		this.world.run(25);
		this.world.measure("first", new Resources(500, 1000, 0), 1);
		this.worker.losesThrottles = true;
		this.world.run(11);
		assertThat(this.worker.throttles.values()).containsExactly(0.5);
		this.worker.losesThrottles = false;
		this.world.run(15);
		assertThat(this.worker.throttles.values()).containsExactly(1.0);
	}

	private void submit(String key, Urgency urgency) {
		this.world.submit(JobSubmission.ofEqualTasks(ShardWorld.TEAM, new JobId(key), urgency, key,
				new Resources(1000, 1000, 0), 1));
	}

}
