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
 * Tests that the tasks of a job are spread over racks, also after a takeover.
 */
class RackSpreadTests {

	@ParameterizedTest
	@CsvSource({ "URGENT, false", "BATCH, false", "URGENT, true", "BATCH, true" })
	void spreadsTheTasksOfAJobOverRacks(Urgency urgency, boolean takeover) {
		// Racks 0, 1 and 2 have 3, 1 and 1 schedulable workers; the search visits those
		// of rack 0 first.
		ShardSimulation simulation = new ShardSimulation(9, TaskDefaults.settings());
		simulation.leavingVms.addAll(List.of("vm-1", "vm-2", "vm-4", "vm-5"));
		simulation.updateWorkers();
		simulation.run(1);
		simulation.submit(ShardSimulation.job("job", urgency, 2, 3));
		simulation.run(1);
		if (takeover) {
			simulation.takeOver(true, false);
			simulation.run(2);
		}
		simulation.submit(ShardSimulation.job("other", urgency, 2, 3));
		simulation.run(1);
		assertThat(perRack(simulation, "job")).containsOnly(Map.entry(0, 1L), Map.entry(1, 1L), Map.entry(2, 1L));
		assertThat(perRack(simulation, "other")).containsOnly(Map.entry(0, 1L), Map.entry(1, 1L), Map.entry(2, 1L));
	}

	private static Map<Integer, Long> perRack(ShardSimulation simulation, String job) {
		return simulation.vmsOf(ShardSimulation.TEAM, job)
			.stream()
			.map((vm) -> Integer.parseInt(vm.substring(3)) % 3)
			.collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
	}

}
