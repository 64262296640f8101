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
 * Guards the promises of the facade one by one.
 */
class TaskShardTests {

	private final ShardWorld world = new ShardWorld(4, TaskDefaults.settings());

	@Test
	void startsUrgentWorkWithinThreeSecondsOnFullVms() {
		this.world.run(1);
		this.world.submit(ShardWorld.job("filler", Urgency.BATCH, 7, 8));
		this.world.run(5);
		this.world.submit(ShardWorld.job("proof", Urgency.URGENT, 6, 1));
		this.world.run(3);
		assertThat(this.world.stateOf("proof", 0)).isEqualTo(TaskState.RUNNING);
	}

	@Test
	void tellsADuplicateOnlyAfterTheFirstAcceptanceCanBeDurable() {
		JobSubmission job = ShardWorld.job("nightly", Urgency.BATCH, 1, 1);
		this.world.run(1);
		this.world.owner.shard.submit(job, this.world.now);
		TaskStep second = this.world.owner.shard.submit(job, this.world.now);
		assertThat(second.entries()).isNotEmpty();
		assertThat(second.actions())
			.contains(new TaskAction.Respond(ShardWorld.TEAM, job.job(), new JobResponse.Accepted(true)));
	}

	@Test
	void refusesAnotherJobUnderAKnownKey() {
		this.world.run(1);
		this.world.submit(ShardWorld.job("nightly", Urgency.BATCH, 1, 1));
		TaskStep step = this.world.owner.shard.submit(ShardWorld.job("nightly", Urgency.BATCH, 2, 1), this.world.now);
		assertThat(step.actions()).contains(new TaskAction.Respond(ShardWorld.TEAM, new JobId("nightly"),
				new JobResponse.Refused(JobRefusal.KEY_CONFLICT, 0)));
	}

	@Test
	void startsNothingAfterTheCommitDeadlineAndRenewsRunningTasks() {
		this.world.run(1);
		this.world.submit(ShardWorld.job("first", Urgency.BATCH, 1, 1));
		this.world.run(1);
		this.world.advance(ShardWorld.ENTRY_LEASE);
		this.world.owner.take(
				this.world.owner.shard.submit(ShardWorld.job("second", Urgency.BATCH, 1, 1), this.world.now),
				this.world.now);
		for (int second = 0; second < 60; second++) {
			this.world.advance(Duration.ofSeconds(1));
			this.world.settle();
		}
		assertThat(this.world.owner.shard.job(ShardWorld.TEAM, new JobId("second"))).isEmpty();
		assertThat(this.world.stateOf("first", 0)).isEqualTo(TaskState.RUNNING);
		assertThat(this.world.workers.values()).anyMatch((worker) -> worker.running().size() == 1);
	}

	@Test
	void givesUpAJobThatFailsInTheSameWayOnSeveralWorkers() {
		this.world.workers.values().forEach((worker) -> worker.failures.put("reconcile", "bad input"));
		this.world.run(1);
		this.world.submit(ShardWorld.job("broken", Urgency.BATCH, 1, 1));
		this.world.run(20);
		assertThat(this.world.stateOf("broken", 0)).isEqualTo(TaskState.FAILED);
		assertThat(this.world.owner.shard.job(ShardWorld.TEAM, new JobId("broken")).orElseThrow().problem())
			.contains("failed in the same way on 3 workers: bad input");
	}

	@Test
	void cancelsManyJobsWithOneEntry() {
		this.world.run(1);
		List<JobId> keys = java.util.stream.IntStream.range(0, 500).mapToObj((i) -> new JobId("job-" + i)).toList();
		keys.forEach((key) -> this.world.submit(ShardWorld.job(key.value(), Urgency.BATCH, 1, 10)));
		this.world.run(1);
		TaskStep step = this.world.owner.shard.cancel(ShardWorld.TEAM, keys, this.world.now);
		assertThat(step.entries()).hasSize(1);
	}

	@Test
	void keepsTheHardLimitOfATeam() {
		this.world.run(1);
		this.world.owner.take(
				this.world.owner.shard.updateQuotas(
						List.of(new TeamQuota(ShardWorld.TEAM, new Resources(3000, 100_000, 0), 1)), this.world.now),
				this.world.now);
		this.world.submit(ShardWorld.job("nightly", Urgency.BATCH, 1, 10));
		this.world.run(2);
		assertThat(this.world.owner.shard.counts(this.world.now).states()).containsEntry(TaskState.RUNNING, 3);
	}

	@Test
	void refusesAnUnknownFormatOfTheLogAndTheSnapshot() {
		assertThat(recover(Optional.empty(), List.of(new byte[] { 9 }))).isInstanceOf(RecoveryOutcome.Unreadable.class);
		assertThat(recover(Optional.of(new byte[] { 9 }), List.of())).isInstanceOf(RecoveryOutcome.Unreadable.class);
	}

	private RecoveryOutcome recover(Optional<byte[]> snapshot, List<byte[]> entries) {
		return TaskShard.recover(ShardWorld.SHARD, new Epoch(1), this.world.now, false, TaskDefaults.settings(),
				snapshot, entries);
	}

}
