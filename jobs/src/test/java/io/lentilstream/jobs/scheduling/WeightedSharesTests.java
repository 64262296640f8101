package io.lentilstream.jobs.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.QueuePolicy;
import io.lentilstream.jobs.StepSpec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for the load patterns that the shares of queues are designed for.
 */
class WeightedSharesTests {

	private static final QueuePolicy POLICY = new QueuePolicy(VirtualWorker.SERVICE, 2, 3, 2, 500);

	/** The objective of jobs of one step of a second, in milliseconds. */
	private static final long OBJECTIVE_MILLIS = 2500;

	/** The age of jobs that got nothing while they could be of use, in milliseconds. */
	private static final long STARVED_AGE_MILLIS = 4 * OBJECTIVE_MILLIS;

	private static final int WORKERS = 4;

	private static final int JOBS = 40;

	/** The time between two jobs of a queue under the usual load, in milliseconds. */
	private static final int INTERVAL_MILLIS = 400;

	@Test
	void queueThatSendsTenTimesItsUsualLoadDoesNotDelayOthers() {
		assertThat(inTimeOfUsualQueue(true)).isGreaterThanOrEqualTo(JOBS - 2);
		assertThat(inTimeOfUsualQueue(false)).isLessThan(JOBS / 2);
	}

	@Test
	void queuesThatBothSendTwiceTheirUsualLoadEndEquallyManyJobs() {
		VirtualWorld world = world(true);
		List<JobSubmission> first = new ArrayList<>();
		List<JobSubmission> second = new ArrayList<>();
		for (int i = 0; i < JOBS; i++) {
			first.add(world.submitTo("first", "first-" + i, POLICY, step(16)));
			second.add(world.submitTo("second", "second-" + i, POLICY, step(16)));
			world.clock.runFor(INTERVAL_MILLIS);
		}
		assertThat(completed(world, first)).isCloseTo(completed(world, second), within(3L));
		world.clock.runFor(60_000);
		assertThat(completed(world, first) + completed(world, second)).isEqualTo(2 * JOBS);
	}

	@Test
	void burstOfWideJobsEndsNoFewerJobsInTime() {
		assertThat(wideJobsInTime(true)).isPositive().isGreaterThanOrEqualTo(wideJobsInTime(false));
	}

	@Test
	void lateJobsKeepAShareWhileTheLoadExceedsTheCapacity() {
		assertThat(endedLateDuringOverload(true)).isGreaterThanOrEqualTo(4);
		assertThat(endedLateDuringOverload(false)).isZero();
	}

	// An eighth of the 32 cores ends one late job every four seconds.
	private static long endedLateDuringOverload(boolean sharing) {
		VirtualWorld world = world(sharing);
		List<JobSubmission> jobs = new ArrayList<>();
		for (int i = 0; i < 4 * JOBS; i++) {
			jobs.add(world.submitTo("only", "job-" + i, POLICY, step(16)));
			world.clock.runFor(INTERVAL_MILLIS / 2);
		}
		assertThat(world.violations).isEmpty();
		return jobs.stream()
			.mapToLong((job) -> ageAtEnd(world, job))
			.filter((age) -> age > STARVED_AGE_MILLIS && age < Long.MAX_VALUE)
			.count();
	}

	private static long inTimeOfUsualQueue(boolean sharing) {
		VirtualWorld world = world(sharing);
		List<JobSubmission> usual = new ArrayList<>();
		long inTime = 0;
		for (int i = 0; i < JOBS; i++) {
			for (int k = 0; k < 10; k++) {
				world.submitTo("tenfold", "tenfold-" + i + "-" + k, POLICY, step(4));
			}
			usual.add(world.submitTo("usual", "usual-" + i, POLICY, step(4)));
			world.clock.runFor(INTERVAL_MILLIS);
		}
		assertThat(world.log.stream().anyMatch((line) -> line.contains(" share usual "))).isEqualTo(sharing);
		for (JobSubmission job : usual) {
			inTime += (ageAtEnd(world, job) <= OBJECTIVE_MILLIS) ? 1 : 0;
		}
		return inTime;
	}

	private static long wideJobsInTime(boolean sharing) {
		VirtualWorld world = world(sharing);
		List<JobSubmission> jobs = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			StepSpec second = VirtualWorld.step(24, 1000, 500 + 50 * (i % 5), 0);
			jobs.add(world.submitTo("wide", "wide-" + i, POLICY, VirtualWorld.step(24, 1000, 500 + 50 * (i % 5)),
					second));
			world.clock.runFor(20);
		}
		world.clock.runFor(60_000);
		return jobs.stream().filter((job) -> ageAtEnd(world, job) <= 3 * 1500).count();
	}

	private static long ageAtEnd(VirtualWorld world, JobSubmission job) {
		String start = "job-ended " + job.id() + " ";
		for (String line : world.log) {
			if (line.contains(start)) {
				return Long.parseLong(line.replaceAll(".*age-ms, (\\d+).*", "$1"));
			}
		}
		return Long.MAX_VALUE;
	}

	private static long completed(VirtualWorld world, List<JobSubmission> jobs) {
		return jobs.stream().filter((job) -> world.state(job) == JobState.COMPLETED).count();
	}

	private static StepSpec step(int count) {
		return VirtualWorld.step(count, 1000, 1000);
	}

	private static VirtualWorld world(boolean sharing) {
		VirtualWorld world = new VirtualWorld(11);
		world.features = sharing ? Set.of(SchedulerFeature.WEIGHTED_SHARES) : Set.of();
		for (int i = 0; i < WORKERS; i++) {
			world.addWorker("w" + i);
		}
		world.takeOver();
		world.clock.runFor(500);
		return world;
	}

}
