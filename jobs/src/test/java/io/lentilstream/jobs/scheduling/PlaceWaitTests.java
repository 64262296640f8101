package io.lentilstream.jobs.scheduling;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for tasks that wait for a place near their data.
 */
class PlaceWaitTests {

	private static final long WORK = 1000;

	private final VirtualWorld world = new VirtualWorld(1);

	private final VirtualWorker near = worker(this.world, "near", "r1-1");

	private final VirtualWorker far = worker(this.world, "far", "r1-2");

	@Test
	void aTaskWaitsForARunThatEndsSoonAtItsPlace() {
		start(this.world, true);
		fillNear(8, 400);
		JobSubmission job = this.world.submit("job-2", 0, near(1));
		this.world.clock.runFor(200);
		assertThat(this.far.running).isEmpty();
		assertThat(logged("place-wait-begun")).isTrue();
		this.world.clock.runFor(600);
		assertThat(this.near.running.keySet()).anyMatch((task) -> task.job().equals(job.id()));
		assertThat(logged("place-wait-paid")).isTrue();
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void aTaskRunsElsewhereIfItsPlaceIsBusyForLong() {
		start(this.world, true);
		fillNear(8, 30_000);
		this.world.submit("job-2", 0, near(1));
		this.world.clock.runFor(200);
		assertThat(this.far.running).hasSize(1);
	}

	@Test
	void aWaitEndsAtItsDeadlineWhenARunTakesLongerThanEstimated() {
		start(this.world, true);
		JobSubmission first = this.world.submit("job-1", 0, onlyNear(8, 400));
		for (int i = 0; i < 8; i++) {
			this.world.setDuration(new TaskName(first.id(), 0, 0, i), 30_000);
		}
		this.world.clock.runFor(100);
		this.world.submit("job-2", 0, near(1));
		this.world.clock.runFor(3000);
		assertThat(this.far.running.size() + completed("job-2")).isEqualTo(1);
		assertThat(logged("place-wait-given-up")).isTrue();
	}

	@Test
	void tasksBehindTakeThePlaceThatAWaitingTaskDeclines() {
		this.far.changeCapacity(new Resources(1000, 16_000, 0));
		start(this.world, true);
		fillNear(8, 400);
		this.world.submit("job-2", 0, near(1));
		this.world.clock.runFor(50);
		this.world.submit("job-3", 0, VirtualWorld.step(1, 1000, WORK));
		this.world.clock.runFor(150);
		assertThat(this.far.running.keySet()).anyMatch((task) -> task.job().value().equals("job-3"));
	}

	@Test
	void aCrowdIsCutToWhatThePlaceCanTakeInTime() {
		start(this.world, true);
		fillNear(8, 400);
		JobSubmission crowd = this.world.submit("job-2", 0, near(24));
		this.world.clock.runFor(150);
		assertThat(this.far.running).hasSize(8);
		this.world.clock.runFor(4000);
		assertThat(this.world.state(crowd)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void aMemberOfAGroupWaitsForTheRackOfTheFirst() {
		this.far.changeCapacity(new Resources(1000, 16_000, 0));
		start(this.world, true);
		fillNear(7, 30_000);
		JobSubmission group = this.world.submit("job-2", 0,
				placed(VirtualWorld.step(2, 1000, WORK), new StepSpec.Placement("", "", true, 0)));
		this.world.clock.runFor(300);
		assertThat(this.far.running).hasSize(1);
		assertThat(this.near.running).hasSize(7);
		this.world.clock.runFor(2500);
		assertThat(this.world.state(group)).isEqualTo(JobState.COMPLETED);
		assertThat(this.near.running).hasSize(7);
	}

	@Test
	void aWaitEndsWhenThePlaceDrains() {
		start(this.world, true);
		fillNear(8, 800);
		this.world.submit("job-2", 0, near(1));
		this.world.clock.runFor(100);
		assertThat(this.far.running).isEmpty();
		this.near.draining = true;
		this.world.scheduler.workerListed(this.near.listing());
		this.world.clock.runFor(100);
		assertThat(this.far.running).hasSize(1);
	}

	@Test
	void aSuccessorDecidesAfreshAboutTasksThatWaited() {
		start(this.world, true);
		fillNear(8, 2000);
		JobSubmission job = this.world.submit("job-2", 0, near(1));
		this.world.clock.runFor(100);
		this.world.takeOver();
		this.world.clock.runFor(8000);
		assertThat(this.world.state(job)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void aDayWithoutPlacesIsDecidedAsBefore(long seed) {
		assertThat(logOfDay(seed, true)).isEqualTo(logOfDay(seed, false)).isNotEmpty();
	}

	private static List<String> logOfDay(long seed, boolean enabled) {
		VirtualWorld world = new VirtualWorld(seed);
		for (int i = 0; i < 6; i++) {
			worker(world, "w" + i, "r1-" + i % 3);
		}
		start(world, enabled);
		world.unanswered = 0.02;
		for (int round = 0; round < 40; round++) {
			int count = 1 + world.random.nextInt(12);
			world.submit("job-" + round, round % 3,
					VirtualWorld.step(count, 500 + world.random.nextInt(2500), 200 + world.random.nextInt(900)));
			world.clock.runFor(100 + world.random.nextInt(200));
			if (round == 25) {
				world.takeOver();
			}
		}
		world.clock.runFor(5000);
		return world.log;
	}

	private static VirtualWorker worker(VirtualWorld world, String id, String rack) {
		VirtualWorker worker = world.addWorker(id);
		worker.rack = rack;
		return worker;
	}

	private static void start(VirtualWorld world, boolean enabled) {
		world.features = enabled ? Set.of(SchedulerFeature.PLACE_WAITS) : Set.of();
		world.takeOver();
		world.clock.runFor(500);
	}

	private void fillNear(int count, long millis) {
		this.world.submit("job-1", 0, onlyNear(count, millis));
		this.world.clock.runFor(100);
		assertThat(this.near.running).hasSize(count);
	}

	private static StepSpec onlyNear(int count, long millis) {
		return placed(VirtualWorld.step(count, 1000, millis), new StepSpec.Placement("r1-1", "", false, 0));
	}

	private static StepSpec near(int count) {
		return placed(VirtualWorld.step(count, 1000, WORK), new StepSpec.Placement("", "r1-1", false, 0));
	}

	private static StepSpec placed(StepSpec step, StepSpec.Placement placement) {
		return new StepSpec(step.count(), step.size(), step.estimateMillis(), step.dependsOn(), step.traits(),
				placement, step.image(), step.targetMillis(), step.maxUnavailable());
	}

	private int completed(String job) {
		return (int) this.world.log.stream()
			.filter((line) -> line.contains("task-ended") && line.contains(job))
			.count();
	}

	private boolean logged(String decision) {
		return this.world.log.stream().anyMatch((line) -> line.contains(decision));
	}

}
