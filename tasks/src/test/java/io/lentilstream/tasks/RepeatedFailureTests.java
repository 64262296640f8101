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
 * Guards against a job that can never run and is tried without end, and against a job
 * that is given up because of workers that fail everything.
 */
class RepeatedFailureTests {

	@ParameterizedTest(name = "{0} of {1} workers fail, distinct reasons: {2}")
	@CsvSource({ "4, 4, false, true", "2, 4, false, false", "3, 4, false, true", "4, 4, true, false",
			"2, 2, false, true", "1, 2, false, false" })
	void givesUpAfterTheSameFailureOnSeveralWorkers(int failing, int workers, boolean distinctReasons,
			boolean givenUp) {
		ShardWorld world = new ShardWorld(workers, TaskDefaults.settings());
		world.run(1);
		for (int i = 0; i < failing; i++) {
			world.workers.get("vm-" + i).failures.put(ShardWorld.PROGRAM, distinctReasons ? "reason " + i : "same");
		}
		world.submit(ShardWorld.job("job", Urgency.BATCH, 1, 1));
		world.run(30);
		JobView job = world.owner.shard.job(ShardWorld.TEAM, new JobId("job")).orElseThrow();
		assertThat(job.ended()).isEqualTo(givenUp);
		assertThat(job.problem().orElse("").contains("failed in the same way")).isEqualTo(givenUp);
	}

	@Test
	void stopsUsingAttemptsOnAJobThatWasGivenUp() {
		ShardWorld world = new ShardWorld(4, TaskDefaults.settings());
		world.run(1);
		world.workers.values().forEach((worker) -> worker.failures.put(ShardWorld.PROGRAM, "same"));
		world.submit(ShardWorld.job("job", Urgency.BATCH, 1, 100));
		world.run(30);
		long starts = world.owner.shard.counts(world.now).starts();
		world.run(120);
		assertThat(world.owner.shard.counts(world.now).starts()).isEqualTo(starts);
	}

	@Test
	void givesUpOneTaskOfAJobWhoseOtherTasksFinish() {
		ShardWorld world = new ShardWorld(4, TaskDefaults.settings());
		world.run(1);
		world.submit(new JobSubmission(ShardWorld.TEAM, new JobId("job"), Urgency.BATCH,
				List.of(new TaskDeclaration(new Resources(1000, 1024, 0), "good", 2),
						new TaskDeclaration(new Resources(1000, 1024, 0), "bad", 2))));
		world.run(2);
		FakeWorker first = world.workerOf(world.id(1, 2)).orElseThrow();
		first.finish(world.id(1, 2));
		world.run(12);
		world.workers.values().forEach((worker) -> worker.failures.put("bad", "same"));
		failOnce(world, 3);
		world.run(60);
		assertThat(world.stateOf("job", 2)).isEqualTo(TaskState.DONE);
		assertThat(world.stateOf("job", 3)).isEqualTo(TaskState.FAILED);
		assertThat(world.stateOf("job", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void doesNotCountTheFailureOfAProbe() {
		ShardWorld world = new ShardWorld(4, TaskDefaults.settings());
		world.run(1);
		FakeWorker bad = world.workers.get("vm-0");
		world.putOnProbation(bad);
		world.run(70);
		// The job fails twice elsewhere, then as the probe; the last worker could run it.
		world.leaving.addAll(List.of("vm-0", "vm-3"));
		world.list();
		world.workers.get("vm-1").failures.put("render", "disk");
		world.workers.get("vm-2").failures.put("render", "disk");
		world.submit(JobSubmission.ofEqualTasks(ShardWorld.TEAM, new JobId("job"), Urgency.BATCH, "render",
				new Resources(1000, 1024, 0), 1));
		for (int second = 0; second < 20 && failures(world, "vm-1") + failures(world, "vm-2") < 2; second++) {
			world.run(1);
		}
		world.leaving.remove("vm-0");
		world.leaving.addAll(List.of("vm-1", "vm-2"));
		world.list();
		world.run(5);
		assertThat(failures(world, "vm-0")).as("the probe failed").isOne();
		world.leaving.clear();
		world.list();
		world.run(30);
		assertThat(world.stateOf("job", 0)).isEqualTo(TaskState.RUNNING);
	}

	private static int failures(ShardWorld world, String vm) {
		return (int) world.workers.get(vm).runs.values()
			.stream()
			.filter((run) -> run.task.program().equals("render") && run.failure.isPresent())
			.count();
	}

	private static void failOnce(ShardWorld world, int index) {
		FakeWorker worker = world.workerOf(world.id(1, index)).orElseThrow();
		FakeWorker.Run run = worker.runs.get(world.id(1, index));
		run.state = TaskReport.State.FAILED;
		run.failure = Optional.of("same");
	}

}
