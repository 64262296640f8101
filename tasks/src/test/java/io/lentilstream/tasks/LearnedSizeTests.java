package io.lentilstream.tasks;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that commitments follow the reported usage, and that urgent tasks get at least
 * their declared size.
 */
class LearnedSizeTests {

	private final ShardSimulation simulation = new ShardSimulation(2, TaskDefaults.settings());

	@ParameterizedTest(name = "{0} tasks that use {1} are committed with {2}, the next with {3}")
	@CsvSource({ "BATCH, 500, 1000, 563", "URGENT, 500, 1000, 1000", "BATCH, 2000, 2000, 2188",
			"URGENT, 2000, 2000, 2188", "BATCH, 0, 1000, 1000" })
	void commitsTheLearnedSize(Urgency urgency, long used, long running, long next) {
		this.simulation.run(1);
		this.simulation.submit(ShardSimulation.job("first", urgency, 1, 2));
		this.simulation.run(1);
		this.simulation.measure("first", new Resources(used, (used > 0) ? 1024 : 0, 0), 1);
		this.simulation.run(25);
		assertThat(committed("first")).isEqualTo(running);
		this.simulation.submit(ShardSimulation.job("second", urgency, 1, 1));
		this.simulation.run(1);
		assertThat(committed("second")).isEqualTo(next);
	}

	private long committed(String job) {
		return this.simulation.owner.shard.tasks(ShardSimulation.TEAM, new JobId(job)).get(0).committed().milliCores();
	}

}
