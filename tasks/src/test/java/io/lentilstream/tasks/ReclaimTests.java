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
 * Tests that a team below its fair share gets back the capacity that other teams use
 * beyond theirs, with no more evictions than needed or allowed.
 */
class ReclaimTests {

	private static final TeamId BORROWER = ShardSimulation.TEAM;

	private static final TeamId OWNER = ShardSimulation.OTHER_TEAM;

	@ParameterizedTest(name = "{0} tasks of {1} cores lent to {2}, {4} wanted by {5}")
	@CsvSource({ "28, 1, BATCH, 60, 1, BATCH, 1", "28, 1, BATCH, 60, 1, DEFERRABLE, 1",
			"28, 1, DEFERRABLE, 60, 1, BATCH, 0", "28, 1, BATCH, 0, 1, BATCH, 0", "28, 1, BATCH, 60, 7, BATCH, 1",
			"28, 1, BATCH, 6, 7, BATCH, 0", "4, 7, BATCH, 6, 1, BATCH, 1" })
	void reclaimsBorrowedCapacity(int lent, int lentCores, Urgency lentUrgency, int perMinute, int wantedCores,
			Urgency wantedUrgency, int expected) {
		ShardSimulation simulation = new ShardSimulation(4, TestSettings.evictionsPerMinute(perMinute));
		simulation.run(1);
		simulation.submit(job(BORROWER, "borrowed", lentUrgency, lentCores, lent));
		simulation.run(10);
		simulation.submit(job(OWNER, "own", wantedUrgency, wantedCores, 1));
		simulation.run(20);
		assertThat(simulation.vmsOf(OWNER, "own")).hasSize(expected);
		assertThat(simulation.owner.shard.counts(simulation.now).evictions())
			.isEqualTo((expected == 0) ? 0 : Math.max(1, wantedCores / lentCores));
	}

	// The borrower keeps up to 1.1 times its share of 32 cores: 17, 26 and 8.
	@ParameterizedTest(name = "weights {0} and {1}")
	@CsvSource({ "1, 1, 11", "3, 1, 2", "1, 3, 20" })
	void stopsAtTheFairShare(double borrower, double owner, int expected) {
		ShardSimulation simulation = new ShardSimulation(4, TaskDefaults.settings());
		Resources noLimit = new Resources(1_000_000, 1_000_000, 100);
		simulation.owner.process(simulation.owner.shard.updateQuotas(
				List.of(new TeamQuota(BORROWER, noLimit, borrower), new TeamQuota(OWNER, noLimit, owner)),
				simulation.now), simulation.now);
		simulation.run(1);
		simulation.submit(job(BORROWER, "borrowed", Urgency.BATCH, 1, 28));
		simulation.run(10);
		simulation.submit(job(OWNER, "own", Urgency.BATCH, 1, 28));
		simulation.run(60);
		assertThat(simulation.vmsOf(OWNER, "own")).hasSize(expected);
		assertThat(simulation.owner.shard.counts(simulation.now).evictions()).isEqualTo(expected);
	}

	@Test
	void evictsNothingMoreForATaskWhileItsVictimIsCheckpointed() {
		ShardSimulation simulation = new ShardSimulation(4, TaskDefaults.settings());
		simulation.run(1);
		simulation.submit(job(BORROWER, "borrowed", Urgency.BATCH, 1, 28));
		simulation.run(10);
		simulation.workers.values().forEach((worker) -> worker.checkpointsHang = true);
		simulation.submit(job(OWNER, "own", Urgency.BATCH, 1, 1));
		simulation.run(9);
		assertThat(simulation.owner.shard.counts(simulation.now).evictions()).isOne();
	}

	@Test
	void keepsTheLimitOnEvictions() {
		ShardSimulation simulation = new ShardSimulation(4, TestSettings.evictionsPerMinute(6));
		simulation.run(1);
		simulation.submit(job(BORROWER, "borrowed", Urgency.BATCH, 1, 28));
		simulation.run(120);
		simulation.submit(job(OWNER, "own", Urgency.BATCH, 1, 28));
		simulation.run(60);
		assertThat(simulation.owner.shard.counts(simulation.now).evictions()).isEqualTo(6);
	}

	@Test
	void countsOnlyListedVmsForTheFairShare() {
		ShardSimulation simulation = new ShardSimulation(8, TaskDefaults.settings());
		simulation.run(1);
		simulation.workers.keySet().removeIf((vm) -> !List.of("vm-0", "vm-1").contains(vm));
		simulation.updateWorkers();
		simulation.submit(job(BORROWER, "borrowed", Urgency.BATCH, 1, 14));
		simulation.run(10);
		simulation.submit(job(OWNER, "own", Urgency.BATCH, 1, 1));
		simulation.run(10);
		assertThat(simulation.vmsOf(OWNER, "own")).hasSize(1);
	}

	private static JobSubmission job(TeamId team, String key, Urgency urgency, int cores, int count) {
		return JobSubmission.ofEqualTasks(team, new JobId(key), urgency, ShardSimulation.PROGRAM,
				new Resources(cores * 1000, 512, 0), count);
	}

}
