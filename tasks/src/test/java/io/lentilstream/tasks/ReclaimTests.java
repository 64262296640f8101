package io.lentilstream.tasks;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a team below its fair share that waits for borrowed share, and against
 * evictions that reclaim does not need or may not order.
 */
class ReclaimTests {

	private static final TeamId BORROWER = ShardWorld.TEAM;

	private static final TeamId OWNER = ShardWorld.OTHER_TEAM;

	@ParameterizedTest(name = "{0} tasks of {1} cores lent to {2}, {4} wanted by {5}")
	@CsvSource({ "28, 1, BATCH, 60, 1, BATCH, 1", "28, 1, BATCH, 60, 1, DEFERRABLE, 1",
			"28, 1, DEFERRABLE, 60, 1, BATCH, 0", "28, 1, BATCH, 0, 1, BATCH, 0", "28, 1, BATCH, 60, 7, BATCH, 1",
			"28, 1, BATCH, 6, 7, BATCH, 0", "4, 7, BATCH, 6, 1, BATCH, 1" })
	void takesBorrowedShareBack(int lent, int lentCores, Urgency lentUrgency, int perMinute, int wantedCores,
			Urgency wantedUrgency, int expected) {
		ShardWorld world = new ShardWorld(4, TestSettings.evictionsPerMinute(perMinute));
		world.run(1);
		world.submit(job(BORROWER, "borrowed", lentUrgency, lentCores, lent));
		world.run(10);
		world.submit(job(OWNER, "own", wantedUrgency, wantedCores, 1));
		world.run(20);
		assertThat(world.vmsOf(OWNER, "own")).hasSize(expected);
		assertThat(world.owner.shard.counts(world.now).evictions())
			.isEqualTo((expected == 0) ? 0 : Math.max(1, wantedCores / lentCores));
	}

	// The borrower keeps what is within 1.1 times its share of 32 cores: 17, 26 and 8.
	@ParameterizedTest(name = "weights {0} and {1}")
	@CsvSource({ "1, 1, 11", "3, 1, 2", "1, 3, 20" })
	void stopsAtTheFairShare(double borrower, double owner, int expected) {
		ShardWorld world = new ShardWorld(4, TaskDefaults.settings());
		Resources noLimit = new Resources(1_000_000, 1_000_000, 100);
		world.owner.take(world.owner.shard.updateQuotas(
				List.of(new TeamQuota(BORROWER, noLimit, borrower), new TeamQuota(OWNER, noLimit, owner)), world.now),
				world.now);
		world.run(1);
		world.submit(job(BORROWER, "borrowed", Urgency.BATCH, 1, 28));
		world.run(10);
		world.submit(job(OWNER, "own", Urgency.BATCH, 1, 28));
		world.run(60);
		assertThat(world.vmsOf(OWNER, "own")).hasSize(expected);
		assertThat(world.owner.shard.counts(world.now).evictions()).isEqualTo(expected);
	}

	@Test
	void evictsNothingMoreForATaskWhoseRoomIsBeingMade() {
		ShardWorld world = new ShardWorld(4, TaskDefaults.settings());
		world.run(1);
		world.submit(job(BORROWER, "borrowed", Urgency.BATCH, 1, 28));
		world.run(10);
		world.workers.values().forEach((worker) -> worker.checkpointsHang = true);
		world.submit(job(OWNER, "own", Urgency.BATCH, 1, 1));
		world.run(9);
		assertThat(world.owner.shard.counts(world.now).evictions()).isOne();
	}

	@Test
	void keepsTheBoundOnEvictions() {
		ShardWorld world = new ShardWorld(4, TestSettings.evictionsPerMinute(6));
		world.run(1);
		world.submit(job(BORROWER, "borrowed", Urgency.BATCH, 1, 28));
		world.run(120);
		world.submit(job(OWNER, "own", Urgency.BATCH, 1, 28));
		world.run(60);
		assertThat(world.owner.shard.counts(world.now).evictions()).isEqualTo(6);
	}

	@Test
	void countsOnlyListedVmsForTheFairShare() {
		ShardWorld world = new ShardWorld(8, TaskDefaults.settings());
		world.run(1);
		world.workers.keySet().removeIf((vm) -> !List.of("vm-0", "vm-1").contains(vm));
		world.list();
		world.submit(job(BORROWER, "borrowed", Urgency.BATCH, 1, 14));
		world.run(10);
		world.submit(job(OWNER, "own", Urgency.BATCH, 1, 1));
		world.run(10);
		assertThat(world.vmsOf(OWNER, "own")).hasSize(1);
	}

	private static JobSubmission job(TeamId team, String key, Urgency urgency, int cores, int count) {
		return JobSubmission.ofEqualTasks(team, new JobId(key), urgency, ShardWorld.PROGRAM,
				new Resources(cores * 1000, 512, 0), count);
	}

}
