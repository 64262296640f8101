package io.lentilstream.tasks;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.lentilstream.model.Urgency;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a job whose tasks are in few racks, also after a takeover.
 */
class RackSpreadTests {

	@ParameterizedTest
	@CsvSource({ "URGENT, false", "BATCH, false", "URGENT, true", "BATCH, true" })
	void spreadsTheTasksOfAJobOverRacks(Urgency urgency, boolean takeover) {
		// Racks 0, 1 and 2 keep 3, 1 and 1 workers; the search meets those of rack 0
		// first.
		ShardWorld world = new ShardWorld(9, TaskDefaults.settings());
		world.leaving.addAll(List.of("vm-1", "vm-2", "vm-4", "vm-5"));
		world.list();
		world.run(1);
		world.submit(ShardWorld.job("job", urgency, 2, 3));
		world.run(1);
		if (takeover) {
			world.takeOver(true, false);
			world.run(2);
		}
		world.submit(ShardWorld.job("other", urgency, 2, 3));
		world.run(1);
		assertThat(perRack(world, "job")).containsOnly(Map.entry(0, 1L), Map.entry(1, 1L), Map.entry(2, 1L));
		assertThat(perRack(world, "other")).containsOnly(Map.entry(0, 1L), Map.entry(1, 1L), Map.entry(2, 1L));
	}

	private static Map<Integer, Long> perRack(ShardWorld world, String job) {
		return world.vmsOf(ShardWorld.TEAM, job)
			.stream()
			.map((vm) -> Integer.parseInt(vm.substring(3)) % 3)
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
	}

}
