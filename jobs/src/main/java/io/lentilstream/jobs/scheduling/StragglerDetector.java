package io.lentilstream.jobs.scheduling;

import java.util.Collection;
import java.util.List;

import io.lentilstream.jobs.StepSpec;
import io.lentilstream.jobs.runtime.RunTimePrediction;

/**
 * Detects runs that make no progress or take far longer than expected. A speculative task
 * gets a copy on another VM; any other task outside a gang restarts elsewhere if its run
 * makes no progress. Load pattern: VMs that accept work and report to be healthy, but
 * make no progress.
 */
final class StragglerDetector {

	/**
	 * The time without progress after which a run counts as stalled, in milliseconds.
	 */
	private static final long STALLED_MILLIS = 2500;

	/** The multiple of its caller's estimate after which a run gets a copy. */
	private static final double COPY_FACTOR = 2.0;

	/** The minimum run time before a copy, in milliseconds. */
	private static final long MIN_COPY_AFTER_MILLIS = 800;

	/** How long the VM of a stalled run is avoided, in milliseconds. */
	private static final long AVOID_MILLIS = 3000;

	private static final int WORKING_PERCENT = 100;

	private final SchedulerState state;

	private final RunStopper runStopper;

	private final RunStarter runStarter;

	private final WorkerCircuitBreaker circuitBreaker;

	private final WorkerSelector workerSelector;

	private final ReliablePlacementRule reliability;

	StragglerDetector(SchedulerState state, RunStopper runStopper, RunStarter runStarter,
			WorkerCircuitBreaker circuitBreaker, WorkerSelector workerSelector, ReliablePlacementRule reliability) {
		this.reliability = reliability;
		this.state = state;
		this.runStopper = runStopper;
		this.runStarter = runStarter;
		this.circuitBreaker = circuitBreaker;
		this.workerSelector = workerSelector;
	}

	void check(Worker worker, long now) {
		if (worker.missedReports > 0) {
			return;
		}
		for (Run run : List.copyOf(worker.runs.values())) {
			if (run.phase == Run.Phase.RUNNING && !run.stopRequested && !run.task.spec().traits().gang()) {
				check(run, now);
			}
		}
	}

	private void check(Run run, long now) {
		StepSpec spec = run.task.spec();
		boolean working = spec.traits().longRunning() && run.percent == WORKING_PERCENT;
		boolean stalled = !working && run.speedPercent > 0
				&& now - Math.max(run.progressedAt, run.phaseSince) > STALLED_MILLIS;
		if (spec.traits().speculative() && run.task.runs.size() == 1) {
			boolean slow = now - run.phaseSince > Math.max(MIN_COPY_AFTER_MILLIS, longestSoundMillis(run.task));
			if ((stalled || slow) && run.task.suspicion.none()) {
				startCopy(run, now);
			}
			return;
		}
		if (stalled) {
			run.task.failedOn = run.worker.id();
			this.circuitBreaker.avoid(run.worker, AVOID_MILLIS, "run makes no progress", now);
			this.reliability.recordStall(run.worker, now);
			this.runStopper.requestStop(run, "no progress", now);
		}
	}

	private double longestSoundMillis(Task task) {
		RunTimePrediction prediction = this.state.runTimes.predictor()
			.predict(task.job.submission.queue(), task.spec());
		return (prediction.samples() > 0) ? prediction.highMillis() : COPY_FACTOR * task.spec().estimateMillis();
	}

	private void startCopy(Run run, long now) {
		Collection<Worker> candidates = this.state.workers.values();
		run.task.failedOn = run.worker.id();
		Worker worker = this.workerSelector.choose(run.task, candidates, "", now);
		if (worker == null || worker == run.worker) {
			return;
		}
		this.state.log.append("copy-ordered", run.task.name, "beside", run.worker, "elapsed-ms", now - run.phaseSince,
				"percent", run.percent);
		this.runStarter.start(run.task, worker, this.runStarter.nextRunNumber(run.task), now);
	}

}
