package io.lentilstream.tasks;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a task that fails for the same reason on several workers is not retried
 * forever, and that faulty workers do not cause a job to be given up.
 */
class RepeatedFailureTests {

	@ParameterizedTest(name = "{0} of {1} workers fail, distinct reasons: {2}")
	@CsvSource({ "4, 4, false, true", "2, 4, false, false", "3, 4, false, true", "4, 4, true, false",
			"2, 2, false, true", "1, 2, false, false" })
	void givesUpAfterTheSameFailureOnSeveralWorkers(int failing, int workers, boolean distinctReasons,
			boolean givenUp) {
		ShardSimulation simulation = new ShardSimulation(workers, TaskDefaults.settings());
		simulation.run(1);
		for (int i = 0; i < failing; i++) {
			simulation.workers.get("vm-" + i).failures.put(ShardSimulation.PROGRAM,
					distinctReasons ? "reason " + i : "same");
		}
		simulation.submit(ShardSimulation.job("job", Urgency.BATCH, 1, 1));
		simulation.run(30);
		JobView job = simulation.owner.shard.job(ShardSimulation.TEAM, new JobId("job")).orElseThrow();
		assertThat(job.ended()).isEqualTo(givenUp);
		assertThat(job.problem().orElse("").contains("failed in the same way")).isEqualTo(givenUp);
	}

	@Test
	void startsNoTaskOfAJobThatWasGivenUp() {
		ShardSimulation simulation = new ShardSimulation(4, TaskDefaults.settings());
		simulation.run(1);
		simulation.workers.values().forEach((worker) -> worker.failures.put(ShardSimulation.PROGRAM, "same"));
		simulation.submit(ShardSimulation.job("job", Urgency.BATCH, 1, 100));
		simulation.run(30);
		long starts = simulation.owner.shard.counts(simulation.now).starts();
		simulation.run(120);
		assertThat(simulation.owner.shard.counts(simulation.now).starts()).isEqualTo(starts);
	}

	@Test
	void givesUpOneTaskOfAJobWhoseOtherTasksFinish() {
		ShardSimulation simulation = new ShardSimulation(4, TaskDefaults.settings());
		simulation.run(1);
		simulation.submit(new JobSubmission(ShardSimulation.TEAM, new JobId("job"), Urgency.BATCH,
				List.of(new TaskDeclaration(new Resources(1000, 1024, 0), "good", 2),
						new TaskDeclaration(new Resources(1000, 1024, 0), "bad", 2))));
		simulation.run(2);
		FakeWorker first = simulation.workerOf(simulation.id(1, 2)).orElseThrow();
		first.finish(simulation.id(1, 2));
		simulation.run(12);
		simulation.workers.values().forEach((worker) -> worker.failures.put("bad", "same"));
		failOnce(simulation, 3);
		simulation.run(60);
		assertThat(simulation.stateOf("job", 2)).isEqualTo(TaskState.DONE);
		assertThat(simulation.stateOf("job", 3)).isEqualTo(TaskState.FAILED);
		assertThat(simulation.stateOf("job", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void doesNotCountTheFailureOfAProbe() {
		ShardSimulation simulation = new ShardSimulation(4, TaskDefaults.settings());
		simulation.run(1);
		FakeWorker bad = simulation.workers.get("vm-0");
		simulation.putOnProbation(bad);
		simulation.run(70);
		// The task fails on two workers and then as the probe; vm-3 could run it.
		simulation.leavingVms.addAll(List.of("vm-0", "vm-3"));
		simulation.updateWorkers();
		simulation.workers.get("vm-1").failures.put("render", "disk");
		simulation.workers.get("vm-2").failures.put("render", "disk");
		simulation.submit(JobSubmission.ofEqualTasks(ShardSimulation.TEAM, new JobId("job"), Urgency.BATCH, "render",
				new Resources(1000, 1024, 0), 1));
		for (int second = 0; second < 20 && failures(simulation, "vm-1") + failures(simulation, "vm-2") < 2; second++) {
			simulation.run(1);
		}
		simulation.leavingVms.remove("vm-0");
		simulation.leavingVms.addAll(List.of("vm-1", "vm-2"));
		simulation.updateWorkers();
		simulation.run(5);
		assertThat(failures(simulation, "vm-0")).as("the probe failed").isOne();
		simulation.leavingVms.clear();
		simulation.updateWorkers();
		simulation.run(30);
		assertThat(simulation.stateOf("job", 0)).isEqualTo(TaskState.RUNNING);
	}

	private static int failures(ShardSimulation simulation, String vm) {
		return (int) simulation.workers.get(vm).attempts.values()
			.stream()
			.filter((attempt) -> attempt.task.program().equals("render") && attempt.failure.isPresent())
			.count();
	}

	private static void failOnce(ShardSimulation simulation, int index) {
		FakeWorker worker = simulation.workerOf(simulation.id(1, index)).orElseThrow();
		FakeWorker.Attempt attempt = worker.attempts.get(simulation.id(1, index));
		attempt.state = TaskReport.State.FAILED;
		attempt.failure = Optional.of("same");
	}

}
