package io.lentilstream.jobs.scheduling;

import java.util.Set;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays of serving tasks whose tail latency rises beside a best-effort task and does
 * not get far below its target again.
 */
class PausedRunMoverTests {

	private static final double TARGET = 50;

	private final VirtualWorld world = new VirtualWorld(1);

	PausedRunMoverTests() {
		this.world.features = Set.of(SchedulerFeature.PAUSED_RUN_MOVES);
		this.world.tailModel = (worker, task) -> {
			if (!worker.id.equals("w1")) {
				return 0.2 * TARGET;
			}
			boolean disturbed = worker.running.keySet()
				.stream()
				.anyMatch((other) -> !this.world.specOf(other).serves() && worker.speeds.getOrDefault(other, 100) > 0);
			return (disturbed ? 1.3 : 0.95) * TARGET;
		};
	}

	@Test
	void aPausedRunMovesToAVmWithRoomAndStaysThere() {
		VirtualWorker first = startPausedRun();
		VirtualWorker second = this.world.addWorker("w2");
		this.world.clock.runFor(4000);
		assertThat(bestEffortRuns(first)).isZero();
		assertThat(bestEffortRuns(second)).isEqualTo(1);
		this.world.clock.runFor(15_000);
		assertThat(bestEffortRuns(second)).isEqualTo(1);
		assertThat(moves()).isEqualTo(1);
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void aPausedRunStaysWithoutRoomElsewhere() {
		VirtualWorker first = startPausedRun();
		this.world.clock.runFor(10_000);
		assertThat(bestEffortRuns(first)).isEqualTo(1);
		assertThat(moves()).isZero();
	}

	@Test
	void aPausedRunStaysWhereTheFeatureIsOff() {
		this.world.features = Set.of();
		VirtualWorker first = startPausedRun();
		this.world.addWorker("w2");
		this.world.clock.runFor(10_000);
		assertThat(bestEffortRuns(first)).isEqualTo(1);
	}

	private VirtualWorker startPausedRun() {
		this.world.addWorker("full");
		this.world.takeOver();
		this.world.clock.runFor(300);
		this.world.submit("plain", 0, VirtualWorld.step(1, 8000, 60_000));
		this.world.clock.runFor(300);
		VirtualWorker first = this.world.addWorker("w1");
		this.world.clock.runFor(300);
		StepSpec.Traits bestEffort = new StepSpec.Traits(true, false, false, false, true);
		this.world.submit("filling", 1, VirtualWorld
			.withImage(VirtualWorld.withTraits(VirtualWorld.step(1, 3000, 60_000), bestEffort), "f", -1));
		this.world.clock.runFor(500);
		StepSpec.Traits serves = new StepSpec.Traits(false, false, false, true, false);
		this.world.submit("serving", 0, VirtualWorld
			.withImage(VirtualWorld.withTraits(VirtualWorld.step(1, 3000, 60_000), serves), "s", TARGET));
		this.world.clock.runFor(4000);
		assertThat(bestEffortRuns(first)).isEqualTo(1);
		assertThat(first.speeds.values()).contains(0);
		return first;
	}

	private long bestEffortRuns(VirtualWorker worker) {
		return worker.running.keySet().stream().filter((TaskName task) -> !this.world.specOf(task).serves()).count();
	}

	private long moves() {
		return this.world.log.stream().filter((line) -> line.contains("paused-run-moved")).count();
	}

}
