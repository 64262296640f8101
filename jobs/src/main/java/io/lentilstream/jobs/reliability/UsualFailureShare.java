package io.lentilstream.jobs.reliability;

import java.util.HashMap;
import java.util.Map;

/**
 * The share of the runs of each queue that fails on any VM. Failures that are usual for a
 * queue say little about the VM on which they occur. Load pattern: a burst of jobs that
 * always fail, which would otherwise discredit every VM that they visit.
 */
public final class UsualFailureShare {

	/** The share that is assumed of a queue without runs. */
	private static final double PRIOR_SHARE = 0.05;

	/** The number of runs that the prior counts for. */
	private static final double PRIOR_RUNS = 20;

	/** The factor by which each run reduces the weight of the previous ones. */
	private static final double RETENTION = 0.995;

	private final Map<String, Counts> queues = new HashMap<>();

	/**
	 * Counts an ended run.
	 * @param queue the queue of its job
	 * @param failed whether the task failed
	 */
	public void recordEnd(String queue, boolean failed) {
		Counts counts = this.queues.computeIfAbsent(queue, (key) -> new Counts());
		counts.runs = counts.runs * RETENTION + 1;
		counts.failures = counts.failures * RETENTION + (failed ? 1 : 0);
	}

	/**
	 * Returns the share of the runs of a queue that fails.
	 * @param queue the queue
	 * @return the share
	 */
	public double of(String queue) {
		Counts counts = this.queues.get(queue);
		if (counts == null) {
			return PRIOR_SHARE;
		}
		return (counts.failures + PRIOR_SHARE * PRIOR_RUNS) / (counts.runs + PRIOR_RUNS);
	}

	/**
	 * The decayed numbers of runs and failures of a queue.
	 */
	private static final class Counts {

		private double runs;

		private double failures;

	}

}
