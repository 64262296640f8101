package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.model.JobId;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the load patterns that the order of waiting tasks, the placement and the
 * circuit breaker are designed for.
 */
class LoadPatternTests {

	private static final StepSpec.Traits LONG_RUNNING = new StepSpec.Traits(false, false, false, true, false);

	private final VirtualWorld world = new VirtualWorld(3);

	@Test
	void workerThatFailsEveryRunReceivesOnlyProbes() {
		for (int i = 0; i < 6; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.workers.get("w0").failing = true;
		this.world.takeOver();
		List<JobSubmission> jobs = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			jobs.add(this.world.submit("job-" + i, 0, VirtualWorld.step(8, 1000, 300)));
			this.world.clock.runFor(100);
		}
		this.world.clock.runFor(5000);
		assertThat(this.world.failures).isLessThanOrEqualTo(16);
		assertThat(jobs).allSatisfy((job) -> assertThat(this.world.state(job)).isEqualTo(JobState.COMPLETED));
	}

	@Test
	void failingWorkerIsProbedByOneRunAtATime() {
		this.world.addWorker("w0").failing = true;
		this.world.addWorker("w1");
		this.world.takeOver();
		for (int i = 0; i < 80; i++) {
			this.world.submit("job-" + i, 0, VirtualWorld.step(8, 1000, 300));
		}
		this.world.clock.runFor(1000);
		int most = 0;
		for (int i = 0; i < 240; i++) {
			this.world.clock.runFor(50);
			most = Math.max(most, this.world.workers.get("w0").running.size());
		}
		assertThat(most).isEqualTo(1);
	}

	@Test
	void headroomAdmitsUrgentJobWhileLongRunningTasksWouldFillEveryWorker() {
		for (int i = 0; i < 8; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
		StepSpec longRunningStep = VirtualWorld.withTraits(VirtualWorld.step(40, 2000, 1000), LONG_RUNNING);
		this.world.submit("lasting", 0, longRunningStep);
		this.world.clock.runFor(1000);
		JobSubmission urgent = this.world.submit("urgent", 0, VirtualWorld.step(4, 2000, 300));
		this.world.clock.runFor(800);
		assertThat(this.world.state(urgent)).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void interruptedLongRunningTaskRestartsBeforeOthersTakeItsCapacity() {
		this.world.addWorker("w0");
		this.world.addWorker("w1");
		this.world.takeOver();
		StepSpec longRunningStep = VirtualWorld.withTraits(VirtualWorld.step(8, 2000, 1000), LONG_RUNNING);
		JobSubmission first = this.world.submit("first", 0, longRunningStep);
		// By then all tasks run that the headroom admits.
		this.world.clock.runFor(4000);
		this.world.submit("second", 0, longRunningStep);
		int before = running(first);
		this.world.workers.get("w0").crash();
		this.world.workers.get("w0").restart();
		this.world.scheduler.workerListed(this.world.workers.get("w0").listing());
		this.world.clock.runFor(1000);
		assertThat(running(first)).isEqualTo(before);
	}

	@Test
	void longRunningTaskOnALostWorkerRestartsSoonAfterItsLeaseExpires() {
		VirtualWorker crashed = this.world.addWorker("w0");
		this.world.takeOver();
		StepSpec longRunningStep = VirtualWorld.withTraits(VirtualWorld.step(1, 2000, 1000), LONG_RUNNING);
		JobSubmission job = this.world.submit("lasting", 0, longRunningStep);
		this.world.clock.runFor(1000);
		this.world.addWorker("w1");
		this.world.addWorker("w2");
		this.world.clock.runFor(1000);
		crashed.crash();
		this.world.clock.runFor(8000);
		assertThat(running(job)).isEqualTo(1);
	}

	@Test
	void longRunningTasksMoveOffADrainingWorkerBeforeItLeaves() {
		JobSubmission job = submitLongRunningJobToTwoWorkers();
		drain(busyWorker());
		this.world.clock.runFor(1500);
		assertThat(running(job)).isEqualTo(3);
		assertThat(busyWorker().draining).isFalse();
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void longRunningTasksStayOnADrainingWorkerWithoutCapacityElsewhere() {
		JobSubmission job = submitLongRunningJobToTwoWorkers();
		this.world.workers.values().forEach(this::drain);
		this.world.clock.runFor(1500);
		assertThat(running(job)).isEqualTo(3);
		assertThat(this.world.log).noneMatch((line) -> line.contains("stop-ordered"));
	}

	private JobSubmission submitLongRunningJobToTwoWorkers() {
		this.world.addWorker("w0");
		this.world.addWorker("w1");
		this.world.takeOver();
		JobSubmission job = this.world.submit("lasting", 0, longRunningStep("a", 3, 2000, 0));
		this.world.clock.runFor(1000);
		assertThat(running(job)).isEqualTo(3);
		return job;
	}

	private VirtualWorker busyWorker() {
		return this.world.workers.values().stream().filter((worker) -> !worker.running.isEmpty()).findFirst().get();
	}

	private void drain(VirtualWorker worker) {
		worker.draining = true;
		this.world.scheduler.workerListed(worker.listing());
	}

	@Test
	void jobsThatCanMeetTheirObjectiveRunBeforeLateJobs() {
		this.world.addWorker("w0");
		this.world.takeOver();
		for (int i = 0; i < 10; i++) {
			this.world.submit("early-" + i, 2, VirtualWorld.step(8, 2000, 1000));
		}
		this.world.clock.runFor(4500);
		JobSubmission onTime = this.world.submit("fresh", 2, VirtualWorld.step(4, 2000, 1000));
		this.world.clock.runFor(2500);
		assertThat(this.world.state(onTime)).isEqualTo(JobState.COMPLETED);
	}

	@Test
	void stalledRunRestartsOnAnotherWorker() {
		this.world.addWorker("w0");
		this.world.workers.get("w0").hanging = true;
		this.world.takeOver();
		JobSubmission job = this.world.submit("job", 0, VirtualWorld.step(1, 1000, 400));
		this.world.clock.runFor(300);
		this.world.addWorker("w1");
		this.world.clock.runFor(5000);
		assertThat(this.world.state(job)).isEqualTo(JobState.COMPLETED);
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void longRunningJobsSubmittedInABurstArePlacedAsIfSubmittedTogether() {
		for (int seed = 0; seed < 10; seed++) {
			assertThat(imagesOnWorkers(seed, 5)).isEqualTo(imagesOnWorkers(seed, 0));
		}
	}

	@Test
	void restartOfALongRunningTaskIsNotDebounced() {
		this.world.addWorker("w0");
		this.world.addWorker("w1");
		this.world.takeOver();
		JobSubmission job = this.world.submit("lasting", 0, longRunningStep("a", 1, 2000, 0));
		this.world.clock.runFor(500);
		VirtualWorker worker = busyWorker();
		worker.crash();
		worker.restart();
		this.world.scheduler.workerListed(worker.listing());
		this.world.submit("other", 0, longRunningStep("a", 1, 2000, 0));
		this.world.clock.runFor(80);
		assertThat(running(job)).isEqualTo(1);
	}

	// Returns the number of tasks of each image per VM after jobs of five images were
	// submitted with the given gap between them.
	private static Map<String, Map<String, Long>> imagesOnWorkers(int seed, long gapMillis) {
		VirtualWorld world = new VirtualWorld(seed);
		Random random = new Random(seed);
		for (int i = 0; i < 16; i++) {
			world.addWorker("w" + i);
		}
		world.takeOver();
		world.clock.runFor(500);
		Map<JobId, String> images = new HashMap<>();
		for (int i = 0; i < 16; i++) {
			String image = "image-" + random.nextInt(5);
			JobSubmission job = world.submit("job-" + i, 0,
					longRunningStep(image, 3 + random.nextInt(4), 1200 + 100 * random.nextInt(8), random.nextInt(2)));
			images.put(job.id(), image);
			world.clock.runFor(gapMillis);
		}
		world.clock.runFor(1000);
		Map<String, Map<String, Long>> result = new TreeMap<>();
		world.workers.forEach((id, worker) -> result.put(id,
				worker.running.keySet()
					.stream()
					.collect(Collectors.groupingBy((task) -> images.get(task.job()), Collectors.counting()))));
		return result;
	}

	private static StepSpec longRunningStep(String image, int count, long milliCores, int maxPerWorker) {
		return new StepSpec(count, new Resources(milliCores, 100, 0), 1000, List.of(), LONG_RUNNING,
				new StepSpec.Placement("", "", false, maxPerWorker), image, 50, -1);
	}

	private int running(JobSubmission job) {
		return this.world.workers.values()
			.stream()
			.mapToInt((worker) -> (int) worker.running.keySet()
				.stream()
				.filter((task) -> task.job().equals(job.id()))
				.count())
			.sum();
	}

}
