package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.RunOutcome;

/**
 * Keeps work from VMs that fail what they get. After a time one run at a time probes such
 * a VM until one is done. Load pattern: a VM that fails every start is empty all the time
 * and would draw the whole queue.
 */
final class WorkerCircuitBreaker {

	/** Failures in a row after which a VM is avoided. */
	static final int SUSPICIOUS = 2;

	/** First time for which a VM is avoided, in milliseconds. */
	private static final long AVOID_MILLIS = 1500;

	/** Longest time for which a VM is avoided, in milliseconds. */
	private static final long MAX_AVOID_MILLIS = 6000;

	private final SchedulerState state;

	WorkerCircuitBreaker(SchedulerState state) {
		this.state = state;
	}

	void ended(Worker worker, RunOutcome how, long now) {
		if (how == RunOutcome.DONE) {
			worker.failuresInRow = 0;
		}
		else if (how == RunOutcome.FAILED) {
			worker.failuresInRow++;
			if (worker.failuresInRow >= SUSPICIOUS) {
				avoid(worker, AVOID_MILLIS * (worker.failuresInRow - 1), "fails its tasks", now);
			}
		}
	}

	void avoid(Worker worker, long millis, String reason, long now) {
		worker.ordersSinceAvoided = 0;
		worker.avoidUntil = Math.max(worker.avoidUntil, now + Math.min(millis, MAX_AVOID_MILLIS));
		this.state.log.append("worker-avoided", worker, "until-ms", worker.avoidUntil, "reason", reason, "failures",
				worker.failuresInRow);
	}

}
