package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.RunOutcome;

/**
 * A circuit breaker for VMs on which runs fail repeatedly. After the avoidance time a
 * single run at a time probes the VM until one succeeds. Load pattern: a VM that fails
 * every run is always idle and would attract all waiting tasks.
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

	private final SchedulerState state;

	WorkerCircuitBreaker(SchedulerState state) {
		this.state = state;
	}

	void recordOutcome(Worker worker, RunOutcome outcome, long now) {
		if (outcome == RunOutcome.DONE) {
			worker.consecutiveFailures = 0;
		}
		else if (outcome == RunOutcome.FAILED) {
			worker.consecutiveFailures++;
			if (worker.consecutiveFailures >= FAILURE_THRESHOLD) {
				avoid(worker, AVOID_MILLIS * (worker.consecutiveFailures - 1), "consecutive task failures", now);
			}
		}
	}

	void avoid(Worker worker, long millis, String reason, long now) {
		worker.startsSinceAvoided = 0;
		worker.avoidUntil = Math.max(worker.avoidUntil, now + Math.min(millis, MAX_AVOID_MILLIS));
		this.state.log.append("worker-avoided", worker, "until-ms", worker.avoidUntil, "reason", reason, "failures",
				worker.consecutiveFailures);
	}

}
