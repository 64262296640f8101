package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.jobs.JobSubmission;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * VMs restart under their ids, carry out commands that were sent to their earlier
 * incarnations, and are cut off soon after.
 */
class SeededRestartTests {

	private static final int WORKERS = 6;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 26, 27, 38, 108, 123,
			132, 153, 182, 206, 211, 223, 279, 281, 292, 296 })
	void noTaskRunsTwiceIfRestartedVmsCarryOutCommandsOfTheirEarlierIncarnations(long seed) {
		VirtualWorld world = new VirtualWorld(seed);
		world.unanswered = 0.02;
		List<JobSubmission> jobs = run(world);
		assertThat(world.violations).isEmpty();
		assertThat(world.unpreventable).isEmpty();
		assertThat(jobs).filteredOn((job) -> !world.state(job).ended()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 12, 13, 16, 17, 18, 21, 22, 23, 24, 27, 28, 32, 33, 35, 39, 40, 44, 45, 48, 50, 51, 53, 54,
			56, 59, 60, 82, 134, 135, 172, 192, 203, 211, 222, 225, 240, 266, 271, 297 })
	void noTaskRunsTwiceIfRestartedVmsCarryOutCommandsThatWereDelayedForSeconds(long seed) {
		VirtualWorld world = new VirtualWorld(seed);
		world.unanswered = 0.05;
		world.delayed = 0.5;
		List<JobSubmission> jobs = run(world);
		assertThat(world.violations).isEmpty();
		assertThat(jobs).filteredOn((job) -> !world.state(job).ended()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 24, 32, 82, 134, 135, 172, 192, 203, 211, 222, 225, 240, 266, 271, 297 })
	void noTaskRunsTwiceIfADelayedStartIsTheFirstCommandThatARestartedVmCarriesOut(long seed) {
		VirtualWorld world = new VirtualWorld(seed);
		world.unanswered = 0.05;
		world.delayed = 0.5;
		run(world);
		assertThat(world.unpreventable).isEmpty();
	}

	private static List<JobSubmission> run(VirtualWorld world) {
		for (int i = 0; i < WORKERS; i++) {
			world.addWorker("w" + i);
		}
		world.keepsCommands = true;
		world.takeOver();
		List<JobSubmission> jobs = new ArrayList<>();
		for (int round = 0; round < 100; round++) {
			jobs.add(world.submit("job-" + round, round % 3, VirtualWorld.step(5, 1000, durationIn(round)),
					VirtualWorld.step(2, 2000, 900, 0)));
			if (round % 4 == 0) {
				restartAndCutOff(world, world.workers.get("w" + world.random.nextInt(WORKERS)));
			}
			if (round % 25 == 24) {
				world.takeOver();
			}
			world.clock.runFor(300);
		}
		world.unanswered = 0;
		world.clock.runFor(200_000);
		return jobs;
	}

	private static long durationIn(int round) {
		return switch (round % 3) {
			case 0 -> 100;
			case 1 -> 850;
			default -> 5000;
		};
	}

	private static void restartAndCutOff(VirtualWorld world, VirtualWorker worker) {
		if (!worker.up || worker.partitioned) {
			return;
		}
		worker.crash();
		world.clock.schedule(600, () -> {
			worker.restart();
			world.clock.schedule(world.random.nextInt(1100), () -> listIfUp(world, worker));
			world.clock.schedule(world.random.nextInt(2000), worker::togglePartition);
			world.clock.schedule(2000 + world.random.nextInt(7000), worker::heal);
		});
	}

	private static void listIfUp(VirtualWorld world, VirtualWorker worker) {
		if (worker.up) {
			world.scheduler.workerListed(worker.listing());
		}
	}

}
