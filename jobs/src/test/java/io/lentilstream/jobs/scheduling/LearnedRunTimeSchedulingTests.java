package io.lentilstream.jobs.scheduling;

import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.JobState;
import io.lentilstream.jobs.JobSubmission;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.TaskName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the use of learned run times by the scheduler.
 */
class LearnedRunTimeSchedulingTests {

	private static final StepSpec.Traits SPECULATIVE = new StepSpec.Traits(false, false, true, false, false);

	private static final long ACTUAL_MILLIS = 1200;

	private final VirtualWorld world = new VirtualWorld(5);

	private final Random random = new Random(5);

	@BeforeEach
	void startWithLearning() {
		this.world.features = Set.of(SchedulerFeature.LEARNED_RUN_TIMES);
		for (int i = 0; i < 4; i++) {
			this.world.addWorker("w" + i);
		}
		this.world.takeOver();
	}

	@Test
	void errorsOfCallersAndOfPredictionsAreLoggedForEachJob() {
		for (int i = 0; i < 30; i++) {
			runJob("job-" + i, StepSpec.Traits.NONE);
		}
		List<String> lines = this.world.log.stream().filter((line) -> line.contains(" job-length ")).toList();
		assertThat(lines).hasSize(30);
		assertThat(lines.subList(20, 30)).allSatisfy((line) -> {
			assertThat(number(line, "actual-ms")).isBetween(2 * ACTUAL_MILLIS, 2 * ACTUAL_MILLIS + 100);
			assertThat(number(line, "predicted-error-percent")).isLessThan(25);
		});
		assertThat(lines).anySatisfy((line) -> assertThat(number(line, "callers-error-percent")).isGreaterThan(40));
		assertThat(this.world.violations).isEmpty();
	}

	@Test
	void runGetsACopyOnceItTakesLongerThanLearnedThoughItsEstimateIsFarTooLong() {
		for (int i = 0; i < 20; i++) {
			runJob("job-" + i, SPECULATIVE);
		}
		JobSubmission slow = this.world.submit("slow", 0, withEstimate(60_000, SPECULATIVE));
		this.world.setDuration(new TaskName(slow.id(), 0, 0, 0), 30_000);
		for (int index = 1; index < 4; index++) {
			this.world.setDuration(new TaskName(slow.id(), 0, 0, index), ACTUAL_MILLIS);
		}
		this.world.clock.runFor(10 * ACTUAL_MILLIS);
		assertThat(this.world.log).anyMatch((line) -> line.contains("copy-ordered slow.0.0.0"));
	}

	@Test
	void successorKeepsPredictingWhatItsPredecessorLearned() {
		for (int i = 0; i < 20; i++) {
			runJob("job-" + i, StepSpec.Traits.NONE);
		}
		this.world.takeOver();
		this.world.clock.runFor(2000);
		runJob("next", StepSpec.Traits.NONE);
		String line = this.world.log.stream().filter((text) -> text.contains(" job-length next ")).findFirst().get();
		assertThat(number(line, "predicted-error-percent")).isLessThan(25);
	}

	private void runJob(String id, StepSpec.Traits traits) {
		StepSpec first = withEstimate(randomEstimate(), traits);
		StepSpec second = VirtualWorld.withTraits(VirtualWorld.step(4, 1000, randomEstimate(), 0), traits);
		JobSubmission job = this.world.submit(id, 0, first, second);
		for (int step = 0; step < 2; step++) {
			for (int index = 0; index < 4; index++) {
				this.world.setDuration(new TaskName(job.id(), 0, step, index), ACTUAL_MILLIS);
			}
		}
		this.world.clock.runFor(3 * ACTUAL_MILLIS);
		assertThat(this.world.state(job)).isEqualTo(JobState.COMPLETED);
	}

	private static StepSpec withEstimate(long millis, StepSpec.Traits traits) {
		return VirtualWorld.withTraits(VirtualWorld.step(4, 1000, millis), traits);
	}

	private long randomEstimate() {
		return (long) (ACTUAL_MILLIS * (0.1 + 1.8 * this.random.nextDouble()));
	}

	private static long number(String line, String name) {
		String rest = line.substring(line.indexOf(name + ", ") + name.length() + 2);
		return Long.parseLong(rest.split("[,\\]]")[0]);
	}

}
