package io.lentilstream.tasks;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.Resources;
import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a VM that stays committed beyond its capacity after the list shows a
 * smaller one, and against more evictions than that needs.
 */
class ShrunkCapacityTests {

	private final ShardWorld world = new ShardWorld(1, TaskDefaults.settings());

	private final FakeWorker worker = this.world.workers.get("vm-0");

	@ParameterizedTest
	@CsvSource({ "8000, 8192, BATCH, 7, 0", "7000, 8192, BATCH, 7, 0", "4000, 8192, BATCH, 4, 3",
			"8000, 4096, BATCH, 4, 3", "0, 0, BATCH, 0, 7", "4000, 8192, URGENT, 4, 3" })
	void movesTasksAwayUntilTheRestFits(long cores, long memory, Urgency urgency, int running, int evictions) {
		this.world.run(1);
		this.world.submit(ShardWorld.job("job", urgency, 1, 7));
		this.world.run(2);
		this.worker.listed = new Resources(cores, memory, 1);
		this.world.shrunk.add("vm-0");
		this.world.list();
		this.world.run(15);
		this.world.shrunk.clear();
		this.world.check();
		assertThat(this.worker.running()).hasSize(running);
		assertThat(this.world.owner.shard.counts(this.world.now).evictions()).isEqualTo(evictions);
	}

}
