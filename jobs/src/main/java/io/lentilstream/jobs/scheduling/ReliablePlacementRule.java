package io.lentilstream.jobs.scheduling;

import io.lentilstream.jobs.RunOutcome;
import io.lentilstream.jobs.reliability.FaultBelief;
import io.lentilstream.jobs.reliability.UsualFailureShare;

/**
 * Places the last attempt of a task and long-running tasks on VMs that are believed to be
 * sound; other tasks may run, and so probe, anywhere. Load pattern: VMs that fail or
 * stall what they start, flap, or report a false health for some seconds, while jobs
 * allow few attempts.
 */
final class ReliablePlacementRule {

	/** The largest probability of a fault at which a last attempt may run on a VM. */
	private static final double MAX_FAULT_FOR_LAST_ATTEMPT = 0.1;

	/** The same probability for a long-running task. */
	private static final double MAX_FAULT_FOR_LONG_RUNNING = 0.25;

	/**
	 * The time after which a waiting task may run on any VM, in milliseconds, since no
	 * sound one has room.
	 */
	private static final long MAX_HOLD_MILLIS = 1500;

	/** The weight of a fault for the last attempt of a task, relative to a whole VM. */
	private static final double LAST_ATTEMPT_WEIGHT = 10;

	/** The weight of a fault for other tasks, relative to a whole VM. */
	private static final double ATTEMPT_WEIGHT = 1;

	/**
	 * The usual share of failures of a task that has failed before, mostly by its own
	 * fault.
	 */
	private static final double REPEATED_FAILURE_SHARE = 0.5;

	private final SchedulerState state;

	private final boolean enabled;

	private final UsualFailureShare usualShare = new UsualFailureShare();

	ReliablePlacementRule(SchedulerState state) {
		this.state = state;
		this.enabled = state.settings.enabled(SchedulerFeature.WORKER_PROFILES);
	}

	/**
	 * Tells whether a task may be placed on a VM, as far as faults are concerned.
	 * @param task the task
	 * @param worker the VM
	 * @param now the current time in milliseconds
	 * @return {@code false} if the VM may be faulty and the task should not find out
	 */
	boolean permits(Task task, Worker worker, long now) {
		if (permitsAny(task, now)) {
			return true;
		}
		double max = task.spec().traits().longRunning() ? MAX_FAULT_FOR_LONG_RUNNING : MAX_FAULT_FOR_LAST_ATTEMPT;
		return worker.faultBelief.probability(now) <= max;
	}

	/**
	 * Tells whether a task may be placed on any VM, as far as faults are concerned.
	 * @param task the task
	 * @param now the current time in milliseconds
	 * @return {@code false} if it may only run on VMs that are believed to be sound
	 */
	boolean permitsAny(Task task, long now) {
		return !this.enabled || now - task.waitingSince > MAX_HOLD_MILLIS
				|| !task.spec().traits().longRunning() && !lastAttempt(task);
	}

	/**
	 * Returns by how much the chance of a fault lowers the score of a VM for a task.
	 * @param task the task
	 * @param worker the VM
	 * @return the penalty, as a share of a whole VM
	 */
	double penalty(Task task, Worker worker) {
		if (!this.enabled) {
			return 0;
		}
		double weight = lastAttempt(task) ? LAST_ATTEMPT_WEIGHT : ATTEMPT_WEIGHT;
		return weight * worker.faultBelief.probability(this.state.now());
	}

	private static boolean lastAttempt(Task task) {
		return !task.spec().traits().longRunning()
				&& task.failedRuns.size() + 1 >= Math.max(2, task.job.policy.maxAttempts());
	}

	/**
	 * Updates what is believed of a VM with an ended run.
	 * @param task the task, before the end is counted
	 * @param worker the VM
	 * @param outcome the outcome of the run
	 * @param now the current time in milliseconds
	 */
	void recordEnd(Task task, Worker worker, RunOutcome outcome, long now) {
		boolean failed = outcome == RunOutcome.FAILED;
		if (!this.enabled || !failed && outcome != RunOutcome.DONE) {
			return;
		}
		String queue = task.job.submission.queue();
		double usual = this.usualShare.of(queue);
		double share = task.failedRuns.isEmpty() ? usual : Math.max(usual, REPEATED_FAILURE_SHARE);
		double before = worker.faultBelief.probability(now);
		worker.faultBelief.recordEnd(failed, share, now);
		this.usualShare.recordEnd(queue, failed);
		logIfCrossed(worker, before, now);
	}

	/**
	 * Updates what is believed of a VM on which a run makes no progress. The VM then has
	 * to complete another run before it gets several at a time.
	 * @param worker the VM
	 * @param now the current time in milliseconds
	 */
	void recordStall(Worker worker, long now) {
		if (!this.enabled) {
			return;
		}
		double before = worker.faultBelief.probability(now);
		worker.faultBelief.recordStall(now);
		worker.consecutiveFailures = Math.max(worker.consecutiveFailures, WorkerCircuitBreaker.FAILURE_THRESHOLD);
		logIfCrossed(worker, before, now);
	}

	private void logIfCrossed(Worker worker, double before, long now) {
		FaultBelief belief = worker.faultBelief;
		boolean wasSound = before <= MAX_FAULT_FOR_LAST_ATTEMPT;
		boolean sound = belief.probability(now) <= MAX_FAULT_FOR_LAST_ATTEMPT;
		if (wasSound != sound) {
			this.state.log.append(sound ? "worker-sound" : "worker-doubted", worker, "fault-probability",
					Math.round(100 * belief.probability(now)) / 100.0, "runs", worker.runs.size());
		}
	}

}
