package io.lentilstream.tasks;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that tasks are evicted from a VM that is listed with a smaller capacity until the
 * rest fits, with no more evictions than needed.
 */
class ShrunkCapacityTests {

	private final ShardSimulation simulation = new ShardSimulation(1, TaskDefaults.settings());

	private final FakeWorker worker = this.simulation.workers.get("vm-0");

	@ParameterizedTest
	@CsvSource({ "8000, 8192, BATCH, 7, 0", "7000, 8192, BATCH, 7, 0", "4000, 8192, BATCH, 4, 3",
			"8000, 4096, BATCH, 4, 3", "0, 0, BATCH, 0, 7", "4000, 8192, URGENT, 4, 3" })
	void evictsTasksUntilTheRestFits(long cores, long memory, Urgency urgency, int running, int evictions) {
		this.simulation.run(1);
		this.simulation.submit(ShardSimulation.job("job", urgency, 1, 7));
		this.simulation.run(2);
		this.worker.listed = new Resources(cores, memory, 1);
		this.simulation.shrunkVms.add("vm-0");
		this.simulation.updateWorkers();
		this.simulation.run(15);
		this.simulation.shrunkVms.clear();
		this.simulation.check();
		assertThat(this.worker.running()).hasSize(running);
		assertThat(this.simulation.owner.shard.counts(this.simulation.now).evictions()).isEqualTo(evictions);
	}

}
