package io.lentilstream.jobs.scheduling;

/**
 * The restrictions on VMs that no longer apply to a task, mostly since it has waited for
 * some time. If no VM fits a task, then none fits another task of its step with the same
 * concessions. They are bits of a number, since they are computed for each waiting task
 * in each placement pass.
 */
final class PlacementConcessions {

	/**
	 * May take a VM without long-running tasks if these leave ample processor time for
	 * urgent tasks.
	 */
	static final int FREE_WORKERS = 1;

	/** May start beside a trial. */
	static final int TRIALS = 2;

	/** May start on a VM that may be faulty. */
	static final int FAULTS = 4;

	/** May start beside serving tasks with high tail latencies. */
	static final int HIGH_TAILS = 8;

	/** The number of bits. */
	static final int BITS = 4;

	/**
	 * How long a long-running task waits for a VM that has such tasks already, in
	 * milliseconds. Such tasks have to start within 3 s.
	 */
	private static final long MAX_GROUPING_MILLIS = 1200;

	/**
	 * How long a long-running task is kept from a VM by the trial of another task, in
	 * milliseconds.
	 */
	private static final long MAX_TRIAL_HOLD_MILLIS = 2000;

	private PlacementConcessions() {
	}

	/**
	 * Returns the concessions to a task.
	 * @param task the task
	 * @param others concessions that do not depend on the wait of the task alone
	 * @param now the current time in milliseconds
	 * @return the bits
	 */
	static int of(Task task, int others, long now) {
		if (!task.spec().traits().longRunning()) {
			return others;
		}
		long waited = now - task.waitingSince;
		int found = others;
		if (task.hasRunBefore || waited >= MAX_GROUPING_MILLIS) {
			found |= FREE_WORKERS;
		}
		if (waited >= MAX_TRIAL_HOLD_MILLIS && task.suspicion.crashes().isEmpty()) {
			found |= TRIALS;
		}
		return found;
	}

}
