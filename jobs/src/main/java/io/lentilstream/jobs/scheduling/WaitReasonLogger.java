package io.lentilstream.jobs.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Logs once per second why tasks wait that should have started: long-running ones, and
 * those of jobs that have nothing running. Tasks that wait for the same reasons share a
 * line, so the number of lines and the work are bounded.
 */
final class WaitReasonLogger {

	/**
	 * The time after which it is logged why a long-running task waits, in milliseconds.
	 */
	private static final long MIN_LONG_RUNNING_WAIT_MILLIS = 1000;

	/** The same time for other tasks, in milliseconds. */
	private static final long MIN_WAIT_MILLIS = 3000;

	/** The maximum number of tasks that are compared with all VMs. */
	private static final int MAX_TASKS = 20;

	private static final int MAX_LINES = 5;

	private final SchedulerState state;

	private final WorkerSelector workerSelector;

	WaitReasonLogger(SchedulerState state, WorkerSelector workerSelector) {
		this.state = state;
		this.workerSelector = workerSelector;
	}

	void log(long now) {
		Map<String, Group> groups = new LinkedHashMap<>();
		int compared = 0;
		for (Task task : this.state.waiting) {
			if (!overdue(task, now)) {
				continue;
			}
			if (++compared > MAX_TASKS) {
				break;
			}
			groups.computeIfAbsent(reasons(task, now), (reasons) -> new Group(task)).add(task);
		}
		groups.entrySet()
			.stream()
			.limit(MAX_LINES)
			.forEach((entry) -> this.state.log.append("task-waits", entry.getValue().longest.name, "waited-ms",
					now - entry.getValue().longest.waitingSince, "tasks", entry.getValue().count, "reasons",
					entry.getKey()));
	}

	private static boolean overdue(Task task, long now) {
		long waited = now - task.waitingSince;
		if (task.spec().traits().longRunning()) {
			return waited >= MIN_LONG_RUNNING_WAIT_MILLIS;
		}
		return waited >= MIN_WAIT_MILLIS && task.step.runs == 0;
	}

	// The number of VMs for each reason.
	private String reasons(Task task, long now) {
		if (task.notBefore > now) {
			return "restart is delayed";
		}
		if (SuspectStarter.handles(task)) {
			return (task.plannedStart != null) ? "start as a suspect is planned" : "waits for a start as a suspect";
		}
		return this.workerSelector.countObstacles(task, this.state.workers.values(), now).toString();
	}

	/**
	 * The tasks that wait for the same reasons.
	 */
	private static final class Group {

		private Task longest;

		private int count;

		Group(Task first) {
			this.longest = first;
		}

		void add(Task task) {
			this.count++;
			if (task.waitingSince < this.longest.waitingSince) {
				this.longest = task;
			}
		}

	}

}
