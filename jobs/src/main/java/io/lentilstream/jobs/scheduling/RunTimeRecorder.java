package io.lentilstream.jobs.scheduling;

import java.util.List;
import java.util.Optional;

import io.lentilstream.jobs.DecisionLog;
import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.carryover.CarriedKnowledge;
import io.lentilstream.jobs.runtime.CriticalPath;
import io.lentilstream.jobs.runtime.LearnedRunTimes;
import io.lentilstream.jobs.runtime.RunTimePredictor;
import io.lentilstream.jobs.runtime.StepLength;

/**
 * Records how long tasks take, for the prediction of run times where it is enabled.
 */
final class RunTimeRecorder {

	private final SchedulerSettings settings;

	private final DecisionLog log;

	private final Optional<LearnedRunTimes> learned;

	private final RunTimePredictor callersEstimates = RunTimePredictor.callersEstimates();

	RunTimeRecorder(SchedulerSettings settings, DecisionLog log) {
		this.settings = settings;
		this.log = log;
		this.learned = settings.enabled(SchedulerFeature.LEARNED_RUN_TIMES) ? Optional.of(new LearnedRunTimes(log))
				: Optional.empty();
	}

	RunTimePredictor predictor() {
		return this.learned.map(RunTimePredictor.class::cast).orElse(this.callersEstimates);
	}

	Optional<CarriedKnowledge> carriedKnowledge() {
		return this.learned.map(CarriedKnowledge.class::cast);
	}

	/**
	 * Records the end of a task.
	 * @param task the task
	 * @param run its run; {@code null} if it is unknown to this scheduler
	 * @param now the current time in milliseconds
	 */
	void recordDone(Task task, Run run, long now) {
		if (this.learned.isEmpty() || run == null || !run.measured || run.phase != Run.Phase.RUNNING
				|| task.spec().placement().sameRack()) {
			return;
		}
		String dataRack = task.spec().placement().affinityRack();
		boolean remote = !dataRack.isEmpty() && !dataRack.equals(run.worker.listing.rack());
		task.step.addRunMillis((long) (run.workedMillis(now) / (remote ? this.settings.remoteFactor() : 1)));
	}

	/**
	 * Learns from a step whose tasks are all done.
	 * @param step the step
	 * @param job its job
	 */
	void recordStepCompleted(StepState step, Job job) {
		long[] millis = step.runMillis();
		if (millis.length > 0) {
			this.learned
				.ifPresent((runTimes) -> runTimes.observe(job.submission.queue(), step.spec, StepLength.of(millis)));
		}
	}

	/**
	 * Logs how far the caller's and the predicted length of a job were off.
	 * @param job the job
	 * @param steps the steps of an occurrence that is complete
	 */
	void recordOccurrenceCompleted(Job job, List<StepState> steps) {
		if (this.learned.isEmpty() || steps.stream().anyMatch((step) -> step.longestRunMillis() == 0)) {
			return;
		}
		List<StepSpec> specs = job.submission.steps();
		String queue = job.submission.queue();
		long actual = new CriticalPath(specs, (number) -> steps.get(number).longestRunMillis()).totalMillis();
		long estimated = new CriticalPath(specs,
				(number) -> this.callersEstimates.predictStepMillis(queue, specs.get(number)))
			.totalMillis();
		this.log.append("job-length", job.id(), "queue", queue, "actual-ms", actual, "callers-ms", estimated,
				"callers-error-percent", errorPercent(estimated, actual), "predicted-ms", job.firstPredictionMillis,
				"predicted-error-percent", errorPercent(job.firstPredictionMillis, actual));
	}

	private static long errorPercent(long expected, long actual) {
		return Math.round(100.0 * Math.abs(expected - actual) / actual);
	}

}
