package io.lentilstream.jobs.scheduling;

/**
 * The restrictions on VMs that no longer apply to a task, mostly since it has waited for
 * some time. If no VM fits a task, then none fits another task of its step with the same
 * concessions.
 *
 * @param freeWorkers whether it may take a VM without long-running tasks if these leave
 * ample processor time for urgent tasks
 * @param headroom whether it may take such a VM if long-running tasks leave as much
 * processor time as urgent tasks have needed lately
 * @param trials whether it may start beside a trial
 * @param faults whether it may start on a VM that may be faulty
 * @param highTails whether it may start beside serving tasks with high tail latencies
 */
record PlacementConcessions(boolean freeWorkers, boolean headroom, boolean trials, boolean faults, boolean highTails) {

	/**
	 * How long a long-running task waits for a VM that has such tasks already, in
	 * milliseconds.
	 */
	private static final long MAX_GROUPING_MILLIS = 1200;

	/**
	 * How long a long-running task waits while more processor time is kept for urgent
	 * tasks than these have needed lately, in milliseconds. Long-running tasks have to
	 * start within 3 s.
	 */
	private static final long MAX_AMPLE_HEADROOM_MILLIS = 2000;

	/**
	 * How long a long-running task is kept from a VM by the trial of another task, in
	 * milliseconds.
	 */
	private static final long MAX_TRIAL_HOLD_MILLIS = 2000;

	static PlacementConcessions of(Task task, boolean faults, boolean highTails, long now) {
		boolean longRunning = task.spec().traits().longRunning();
		long waited = now - task.waitingSince;
		return new PlacementConcessions(longRunning && (task.hasRunBefore || waited >= MAX_GROUPING_MILLIS),
				longRunning && (task.hasRunBefore || waited >= MAX_AMPLE_HEADROOM_MILLIS),
				longRunning && waited >= MAX_TRIAL_HOLD_MILLIS && task.suspicion.crashes().isEmpty(), faults,
				highTails);
	}

}
