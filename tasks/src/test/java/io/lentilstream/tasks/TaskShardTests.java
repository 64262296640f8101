package io.lentilstream.tasks;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.lentilstream.model.Epoch;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests each guarantee of {@link TaskShard} by itself.
 */
class TaskShardTests {

	private final ShardSimulation simulation = new ShardSimulation(4, TaskDefaults.settings());

	@Test
	void startsUrgentWorkWithinThreeSecondsOnFullVms() {
		this.simulation.run(1);
		this.simulation.submit(ShardSimulation.job("filler", Urgency.BATCH, 7, 8));
		this.simulation.run(5);
		this.simulation.submit(ShardSimulation.job("proof", Urgency.URGENT, 6, 1));
		this.simulation.run(3);
		assertThat(this.simulation.stateOf("proof", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void acknowledgesADuplicateOnlyAfterTheFirstAcceptanceIsDurable() {
		JobSubmission job = ShardSimulation.job("nightly", Urgency.BATCH, 1, 1);
		this.simulation.run(1);
		this.simulation.owner.shard.submit(job, this.simulation.now);
		TaskStep second = this.simulation.owner.shard.submit(job, this.simulation.now);
		assertThat(second.entries()).isNotEmpty();
		assertThat(second.actions())
			.contains(new TaskAction.Respond(ShardSimulation.TEAM, job.job(), new JobResponse.Accepted(true)));
	}

	@Test
	void refusesAnotherJobUnderAKnownKey() {
		this.simulation.run(1);
		this.simulation.submit(ShardSimulation.job("nightly", Urgency.BATCH, 1, 1));
		TaskStep step = this.simulation.owner.shard.submit(ShardSimulation.job("nightly", Urgency.BATCH, 2, 1),
				this.simulation.now);
		assertThat(step.actions()).contains(new TaskAction.Respond(ShardSimulation.TEAM, new JobId("nightly"),
				new JobResponse.Refused(JobRefusal.KEY_CONFLICT, 0)));
	}

	@Test
	void startsNothingAfterTheCommitDeadlineAndRenewsRunningTasks() {
		this.simulation.run(1);
		this.simulation.submit(ShardSimulation.job("first", Urgency.BATCH, 1, 1));
		this.simulation.run(1);
		this.simulation.advance(ShardSimulation.ENTRY_LEASE);
		this.simulation.owner.process(this.simulation.owner.shard
			.submit(ShardSimulation.job("second", Urgency.BATCH, 1, 1), this.simulation.now), this.simulation.now);
		for (int second = 0; second < 60; second++) {
			this.simulation.advance(Duration.ofSeconds(1));
			this.simulation.processAll();
		}
		assertThat(this.simulation.owner.shard.job(ShardSimulation.TEAM, new JobId("second"))).isEmpty();
		assertThat(this.simulation.stateOf("first", 0)).isEqualTo(TaskState.RUNNING);
		assertThat(this.simulation.workers.values()).anyMatch((worker) -> worker.running().size() == 1);
	}

	@Test
	void givesUpAJobThatFailsInTheSameWayOnSeveralWorkers() {
		this.simulation.workers.values().forEach((worker) -> worker.failures.put("reconcile", "bad input"));
		this.simulation.run(1);
		this.simulation.submit(ShardSimulation.job("broken", Urgency.BATCH, 1, 1));
		this.simulation.run(20);
		assertThat(this.simulation.stateOf("broken", 0)).isEqualTo(TaskState.FAILED);
		assertThat(this.simulation.owner.shard.job(ShardSimulation.TEAM, new JobId("broken")).orElseThrow().problem())
			.contains("failed in the same way on 3 workers: bad input");
	}

	@Test
	void cancelsManyJobsWithOneEntry() {
		this.simulation.run(1);
		List<JobId> keys = java.util.stream.IntStream.range(0, 500).mapToObj((i) -> new JobId("job-" + i)).toList();
		keys.forEach((key) -> this.simulation.submit(ShardSimulation.job(key.value(), Urgency.BATCH, 1, 10)));
		this.simulation.run(1);
		TaskStep step = this.simulation.owner.shard.cancel(ShardSimulation.TEAM, keys, this.simulation.now);
		assertThat(step.entries()).hasSize(1);
	}

	@Test
	void keepsTheHardLimitOfATeam() {
		this.simulation.run(1);
		this.simulation.owner.process(this.simulation.owner.shard.updateQuotas(
				List.of(new TeamQuota(ShardSimulation.TEAM, new Resources(3000, 100_000, 0), 1)), this.simulation.now),
				this.simulation.now);
		this.simulation.submit(ShardSimulation.job("nightly", Urgency.BATCH, 1, 10));
		this.simulation.run(2);
		assertThat(this.simulation.owner.shard.counts(this.simulation.now).states()).containsEntry(TaskState.RUNNING,
				3);
	}

	@Test
	void refusesAnUnknownFormatOfTheLogAndTheSnapshot() {
		assertThat(recover(Optional.empty(), List.of(new byte[] { 9 }))).isInstanceOf(RecoveryOutcome.Unreadable.class);
		assertThat(recover(Optional.of(new byte[] { 9 }), List.of())).isInstanceOf(RecoveryOutcome.Unreadable.class);
	}

	private RecoveryOutcome recover(Optional<byte[]> snapshot, List<byte[]> entries) {
		return TaskShard.recover(ShardSimulation.SHARD, new Epoch(1), this.simulation.now, false,
				TaskDefaults.settings(), snapshot, entries);
	}

}
