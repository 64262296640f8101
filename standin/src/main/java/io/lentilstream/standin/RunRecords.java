package io.lentilstream.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.model.TaskId;

/**
 * Collects what ran, for the checks of a demo or test.
 */
final class RunRecords {

	private final Map<String, Integer> keyRuns = new HashMap<>();

	private final Map<TaskId, List<TaskRun>> taskRuns = new LinkedHashMap<>();

	synchronized void countKeyRun(String key) {
		this.keyRuns.merge(key, 1, Integer::sum);
	}

	synchronized Map<String, Integer> keyRuns() {
		return Map.copyOf(this.keyRuns);
	}

	synchronized void startTask(TaskId task, TaskRun run) {
		this.taskRuns.computeIfAbsent(task, (absent) -> new ArrayList<>()).add(run);
	}

	synchronized void endTask(TaskId task, TaskRun started, TaskRun ended) {
		this.taskRuns.get(task).replaceAll((run) -> run.equals(started) ? ended : run);
	}

	synchronized Map<TaskId, List<TaskRun>> taskRuns() {
		Map<TaskId, List<TaskRun>> copy = new LinkedHashMap<>();
		this.taskRuns.forEach((task, runs) -> copy.put(task, List.copyOf(runs)));
		return copy;
	}

}
