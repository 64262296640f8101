package io.lentilstream.jobs.scheduling;

import java.util.Collection;
import java.util.List;

import io.lentilstream.jobs.StepSpec;

/**
 * Finds runs that stand still or take far longer than estimated. A task that allows
 * copies gets one; one that stands still starts again elsewhere. Load pattern: VMs that
 * accept work, report good health, and make no progress.
 */
final class StragglerDetector {

	/**
	 * Time without progress after which a run counts as standing still, in milliseconds.
	 */
	private static final long STILL_MILLIS = 2500;

	/** How often its estimate a run may take before it gets a copy. */
	private static final double COPY_AFTER = 2.0;

	/** Least run time before a copy, in milliseconds. */
	private static final long COPY_AFTER_MILLIS = 800;

	/** For how long the VM of a run that stood still is avoided, in milliseconds. */
	private static final long AVOID_MILLIS = 3000;

	private static final int AT_WORK = 100;

	private final SchedulerState state;

	private final RunStopper stops;

	private final RunStarter starts;

	private final WorkerCircuitBreaker trust;

	private final WorkerSelector placement;

	StragglerDetector(SchedulerState state, RunStopper stops, RunStarter starts, WorkerCircuitBreaker trust,
			WorkerSelector placement) {
		this.state = state;
		this.stops = stops;
		this.starts = starts;
		this.trust = trust;
		this.placement = placement;
	}

	void review(Worker worker, long now) {
		if (worker.silent > 0) {
			return;
		}
		for (Run run : List.copyOf(worker.runs.values())) {
			if (run.phase == Run.Phase.RUNNING && !run.stopWanted && !run.task.spec().traits().gang()) {
				review(run, now);
			}
		}
	}

	private void review(Run run, long now) {
		StepSpec spec = run.task.spec();
		boolean atWork = spec.traits().longRunning() && run.percent == AT_WORK;
		boolean still = !atWork && run.pace > 0 && now - Math.max(run.progressedAt, run.phaseSince) > STILL_MILLIS;
		if (spec.traits().speculative() && run.task.runs.size() == 1) {
			boolean slow = now - run.phaseSince > Math.max(COPY_AFTER_MILLIS, COPY_AFTER * spec.estimateMillis());
			if (still || slow) {
				copy(run, now);
			}
			return;
		}
		if (still) {
			run.task.failedOn = run.worker.id();
			this.trust.avoid(run.worker, AVOID_MILLIS, "run stands still", now);
			this.stops.want(run, "stands still", now);
		}
	}

	private void copy(Run run, long now) {
		Collection<Worker> others = this.state.workers.values();
		run.task.failedOn = run.worker.id();
		Worker worker = this.placement.choose(run.task, others, "", now);
		if (worker == null || worker == run.worker) {
			return;
		}
		this.state.log.append("copy-ordered", run.task.name, "beside", run.worker, "elapsed-ms", now - run.phaseSince,
				"percent", run.percent);
		this.starts.start(run.task, worker, this.starts.nextRun(run.task), now);
	}

}
