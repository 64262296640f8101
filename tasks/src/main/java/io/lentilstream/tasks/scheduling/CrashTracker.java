package io.lentilstream.tasks.scheduling;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A tracker of the tasks under which workers crashed right after they were started. Each
 * crash counts against the task that the worker was told to start last. Load pattern: a
 * task that crashes each worker that starts it, beside tasks that only share the worker.
 */
final class CrashTracker {

	/** The number of crashes from which a task is held responsible. */
	private static final int MAX_CRASHES = 3;

	private final Map<TaskRecord, Integer> crashes = new LinkedHashMap<>();

	/**
	 * Records the crash of a worker.
	 * @param lost the tasks that were lost; not empty
	 * @return the task that was started last
	 */
	TaskRecord recordCrash(List<TaskRecord> lost) {
		this.crashes.keySet().removeIf((task) -> task.state.isEnded());
		TaskRecord youngest = lost.stream()
			.max(Comparator.comparingLong((TaskRecord task) -> task.startCommand))
			.orElseThrow();
		this.crashes.merge(youngest, 1, Integer::sum);
		return youngest;
	}

	int crashes(TaskRecord task) {
		return this.crashes.getOrDefault(task, 0);
	}

	boolean responsible(TaskRecord task) {
		return crashes(task) >= MAX_CRASHES;
	}

}
