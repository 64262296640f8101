package io.lentilstream.jobs.runtime;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.codec.DecodeException;
import io.lentilstream.model.Resources;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link LearnedRunTimes}.
 */
class LearnedRunTimesTests {

	private static final String QUEUE = "rebuild";

	private final Random random = new Random(7);

	private final List<String> log = new ArrayList<>();

	private final LearnedRunTimes runTimes = new LearnedRunTimes(
			(decision, subject, inputs) -> this.log.add(decision + " " + subject + " " + List.of(inputs)));

	@Test
	void medianErrorOfJobLengthsIsUnder25PercentAfter20JobsOfAKindWhereEstimatesErrBy90Percent() {
		runJobs(20, 0.9);
		List<Double> callers = new ArrayList<>();
		List<Double> predicted = new ArrayList<>();
		for (int i = 0; i < 400; i++) {
			runJob("image-" + i % 6, 0.9, callers, predicted);
		}
		assertThat(median(predicted)).isLessThan(0.25);
		assertThat(median(callers)).isGreaterThan(0.4);
	}

	@Test
	void estimatesOfCallersWhoAreOffByAFifthAreKept() {
		runJobs(20, 0.2);
		StepSpec step = step("image-1", 1234);
		assertThat(this.runTimes.predict(QUEUE, step)).isEqualTo(new RunTimePrediction(1234, 1234, 0));
		assertThat(this.runTimes.predictStepMillis(QUEUE, step)).isEqualTo(1234);
		assertThat(this.log).isEmpty();
	}

	@Test
	void wrongEstimatesOfOneQueueDoNotAffectAnother() {
		runJobs(20, 0.9);
		assertThat(this.runTimes.predict("other", step("image-1", 1234)).samples()).isZero();
		assertThat(this.log).hasSize(1).first().asString().startsWith("estimates-judged rebuild [wrong, true");
	}

	@Test
	void predictionsFollowAKindWhoseRunTimesChange() {
		StepSpec step = step("image-1", 8000);
		learn(step, 1000, 100);
		learn(step, 3000, 200);
		assertThat(this.runTimes.predict(QUEUE, step).medianMillis()).isBetween(2500L, 3000L);
	}

	@Test
	void successorPredictsFromTheSnapshotAsItsPredecessorDid() throws DecodeException {
		runJobs(20, 0.9);
		LearnedRunTimes successor = new LearnedRunTimes((decision, subject, inputs) -> {
		});
		successor.restore(this.runTimes.snapshot(), 0);
		StepSpec step = step("image-1", 1234);
		assertThat(successor.predict(QUEUE, step)).usingRecursiveComparison()
			.withComparatorForType((first, second) -> (Math.abs(first - second) < 0.001) ? 0 : 1, Double.class)
			.isEqualTo(this.runTimes.predict(QUEUE, step));
	}

	@Test
	void oldSnapshotWeighsLess() throws DecodeException {
		runJobs(20, 0.9);
		LearnedRunTimes successor = new LearnedRunTimes((decision, subject, inputs) -> {
		});
		successor.restore(this.runTimes.snapshot(), 600_000);
		StepSpec step = step("image-1", 1234);
		assertThat(successor.predict(QUEUE, step).samples()).isCloseTo(this.runTimes.predict(QUEUE, step).samples() / 2,
				within(0.01));
	}

	@Test
	void malformedSnapshotRestoresNothing() {
		runJobs(20, 0.9);
		byte[] snapshot = this.runTimes.snapshot();
		byte[] truncated = Arrays.copyOf(snapshot, snapshot.length - 3);
		LearnedRunTimes successor = new LearnedRunTimes((decision, subject, inputs) -> {
		});
		assertThatExceptionOfType(DecodeException.class).isThrownBy(() -> successor.restore(truncated, 0));
		assertThat(successor.snapshot()).isEmpty();
	}

	@Test
	void memoryIsBoundedWhenQueuesAndImagesAreCountless() {
		for (int i = 0; i < 20_000; i++) {
			this.runTimes.observe("queue-" + i % 100, step("image-" + i, 100), new StepLength(1000, 1000, 0, 0));
		}
		assertThat(this.runTimes.snapshot().length).isLessThan(32 * 64 * 50);
	}

	private void runJobs(int jobsOfEachKind, double estimateError) {
		for (int i = 0; i < 6 * jobsOfEachKind; i++) {
			runJob("image-" + i % 6, estimateError, new ArrayList<>(), new ArrayList<>());
		}
	}

	// Jobs of a kind differ by 15 percent and the tasks of a step by 30 percent. The
	// estimate error is the standard deviation of the logarithm, the same for all steps.
	private void runJob(String image, double estimateError, List<Double> callersErrors, List<Double> predictedErrors) {
		double base = 700 * (1 + image.hashCode() % 6) * Math.exp(0.15 * this.random.nextGaussian());
		double factor = Math.exp(estimateError * this.random.nextGaussian());
		long actual = 0;
		long estimated = 0;
		long predicted = 0;
		for (int number = 0; number < 2; number++) {
			StepSpec step = step(image, Math.max(1, (long) (base * factor)));
			long[] millis = new long[20];
			for (int i = 0; i < millis.length; i++) {
				millis[i] = (long) (base * (1 + 0.3 * (2 * this.random.nextDouble() - 1)));
			}
			StepLength length = StepLength.of(millis);
			actual += length.longestMillis();
			estimated += step.estimateMillis();
			predicted += this.runTimes.predictStepMillis(QUEUE, step);
			this.runTimes.observe(QUEUE, step, length);
		}
		callersErrors.add(Math.abs(estimated - actual) / (double) actual);
		predictedErrors.add(Math.abs(predicted - actual) / (double) actual);
	}

	private void learn(StepSpec step, long millis, int times) {
		for (int i = 0; i < times; i++) {
			this.runTimes.observe(QUEUE, step, new StepLength(millis, millis, 0.1, 0.1));
		}
	}

	private static double median(List<Double> values) {
		List<Double> sorted = new ArrayList<>(values);
		Collections.sort(sorted);
		return sorted.get(sorted.size() / 2);
	}

	private static StepSpec step(String image, long estimateMillis) {
		return new StepSpec(20, new Resources(7000, 100, 0), estimateMillis, List.of(), StepSpec.Traits.NONE,
				StepSpec.Placement.ANYWHERE, image, 0, -1);
	}

}
