package io.lentilstream.jobs.scheduling;

import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays of VMs that fail or stall what they start while they report to be healthy, with
 * jobs that allow two attempts.
 */
class ReliablePlacementTests {

	private static final QueuePolicy TWO_ATTEMPTS = new QueuePolicy(VirtualWorker.SERVICE, 0, 2, 1.5, 300);

	private static final int WORKERS = 40;

	private static final int JOBS = 120;

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void fewerJobsFailOnVmsThatFailEverything(long seed) {
		int without = failedJobs(seed, Set.of());
		int with = failedJobs(seed, Set.of(SchedulerFeature.WORKER_PROFILES));
		assertThat(with).isLessThanOrEqualTo(without / 2);
	}

	// A tenth of the VMs fails everything for six seconds, at two moments.
	private static int failedJobs(long seed, Set<SchedulerFeature> features) {
		VirtualWorld world = new VirtualWorld(seed);
		world.features = features;
		for (int number = 0; number < WORKERS; number++) {
			world.addWorker("w" + number);
		}
		world.takeOver();
		world.clock.runFor(500);
		JobSubmission[] jobs = new JobSubmission[JOBS];
		for (int number = 0; number < JOBS; number++) {
			if (number % 60 == 10) {
				int first = world.random.nextInt(WORKERS - 4);
				for (int failing = first; failing < first + 4; failing++) {
					VirtualWorker worker = world.workers.get("w" + failing);
					worker.failing = true;
					world.clock.schedule(6000, () -> worker.failing = false);
				}
			}
			jobs[number] = world.submit("job-" + number, TWO_ATTEMPTS, VirtualWorld.step(10, 1000, 600));
			world.clock.runFor(150);
		}
		world.clock.runFor(10_000);
		assertThat(world.violations).isEmpty();
		int failed = 0;
		for (JobSubmission job : jobs) {
			failed += (world.state(job) == JobState.FAILED) ? 1 : 0;
		}
		return failed;
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void aVmThatHasStalledGetsOneTaskAtATimeUntilOneEnds(long seed) {
		VirtualWorld world = new VirtualWorld(seed);
		world.features = Set.of(SchedulerFeature.WORKER_PROFILES);
		world.addWorker("w1");
		VirtualWorker hanging = world.addWorker("w2");
		hanging.hanging = true;
		world.takeOver();
		world.clock.runFor(500);
		JobSubmission first = world.submit("job-1", 0, VirtualWorld.step(4, 1000, 1000));
		world.clock.runFor(4000);
		assertThat(world.state(first)).isEqualTo(JobState.COMPLETED);
		StepSpec wide = VirtualWorld.step(40, 1000, 400);
		int most = 0;
		for (int number = 0; number < 8; number++) {
			world.submit("more-" + number, 0, wide);
			world.clock.runFor(1500);
			most = Math.max(most, hanging.running.size());
		}
		assertThat(most).isLessThanOrEqualTo(1);
		assertThat(world.violations).isEmpty();
	}

}
