package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.RunOutcome;

/**
 * A circuit breaker for VMs on which runs fail repeatedly. After the avoidance time a
 * single run at a time probes the VM until one succeeds or makes progress for some time.
 * Load pattern: a VM that fails every run is always idle and would attract all waiting
 * tasks.
 */
final class WorkerCircuitBreaker {

	/** The number of consecutive failures from which a VM is avoided. */
	static final int FAILURE_THRESHOLD = 2;

	/**
	 * How long a VM is avoided at first, in milliseconds; further failures extend it.
	 */
	private static final long AVOID_MILLIS = 1500;

	/** The longest time for which a VM is avoided, in milliseconds. */
	private static final long MAX_AVOID_MILLIS = 6000;

	/**
	 * How long a long-running run has to work until its VM is known to start runs, in
	 * milliseconds.
	 */
	private static final long MIN_WORK_MILLIS = 1000;

	/**
	 * How long any other probe has to make progress until its VM is known to start runs,
	 * in milliseconds. Longer than most short tasks, which a faulty VM may fail at their
	 * end.
	 */
	private static final long MIN_PROGRESS_MILLIS = 3000;

	private final SchedulerState state;

	WorkerCircuitBreaker(SchedulerState state) {
		this.state = state;
	}

	/**
	 * Counts the end of a run.
	 * @param worker the VM
	 * @param run the run; {@code null} if it is unknown to this scheduler
	 * @param outcome the outcome of the run
	 * @param now the current time in milliseconds
	 */
	void recordOutcome(Worker worker, Run run, RunOutcome outcome, long now) {
		if (outcome == RunOutcome.DONE) {
			worker.consecutiveFailures = 0;
		}
		else if (outcome == RunOutcome.FAILED && !failedAfterWorking(run, now)) {
			worker.consecutiveFailures++;
			if (worker.consecutiveFailures >= FAILURE_THRESHOLD) {
				avoid(worker, AVOID_MILLIS * (worker.consecutiveFailures - 1), "consecutive task failures", now);
			}
		}
	}

	// Long-running tasks may fail by themselves at any time.
	private static boolean failedAfterWorking(Run run, long now) {
		return run != null && run.task.spec().traits().longRunning() && workedLongEnough(run, now);
	}

	private static boolean workedLongEnough(Run run, long now) {
		return run.workingSince >= 0 && now - run.workingSince >= MIN_WORK_MILLIS;
	}

	/**
	 * Makes a run the probe of its VM if the VM has failed too often.
	 * @param run a run that is about to start
	 */
	void recordStart(Run run) {
		if (run.worker.consecutiveFailures >= FAILURE_THRESHOLD && run.worker.probe == null) {
			run.worker.probe = run;
		}
	}

	/**
	 * Closes the circuit if a probe shows that its VM starts runs, since the end of the
	 * probe may be far away.
	 * @param run a run that its VM has reported to be in progress
	 * @param now the current time in milliseconds
	 */
	void recordProgress(Run run, long now) {
		Worker worker = run.worker;
		if (worker.probe != run) {
			return;
		}
		boolean progressed = run.progressedAt > run.phaseSince && now - run.phaseSince >= MIN_PROGRESS_MILLIS;
		boolean longRunning = run.task.spec().traits().longRunning();
		if (longRunning ? workedLongEnough(run, now) : progressed) {
			worker.probe = null;
			worker.consecutiveFailures = 0;
			this.state.log.append("worker-probed", worker, "task", run.task.name, "run", run.number);
		}
	}

	void avoid(Worker worker, long millis, String reason, long now) {
		worker.avoidUntil = Math.max(worker.avoidUntil, now + Math.min(millis, MAX_AVOID_MILLIS));
		this.state.log.append("worker-avoided", worker, "until-ms", worker.avoidUntil, "reason", reason, "failures",
				worker.consecutiveFailures);
	}

}
