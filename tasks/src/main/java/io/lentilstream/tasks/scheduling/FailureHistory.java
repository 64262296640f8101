package io.lentilstream.tasks.scheduling;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * The workers on which a task or group failed, by reason.
 */
final class FailureHistory {

	private Map<String, Set<WorkerRecord>> workersByReason;

	/**
	 * Adds a failure.
	 * @param reason the reason
	 * @param worker the worker
	 * @return the number of distinct workers with this reason
	 */
	int add(String reason, WorkerRecord worker) {
		if (this.workersByReason == null) {
			this.workersByReason = new HashMap<>(2);
		}
		Set<WorkerRecord> workers = this.workersByReason.computeIfAbsent(reason, (key) -> new LinkedHashSet<>(2));
		workers.add(worker);
		return workers.size();
	}

	/**
	 * Returns the number of distinct workers with failures of a reason.
	 * @param reason the reason
	 * @return the number of distinct workers
	 */
	int distinctWorkers(String reason) {
		return (this.workersByReason != null) ? this.workersByReason.getOrDefault(reason, Set.of()).size() : 0;
	}

	boolean hasFailedOn(WorkerRecord worker) {
		return this.workersByReason != null
				&& this.workersByReason.values().stream().anyMatch((workers) -> workers.contains(worker));
	}

	boolean failedOnlyOn(WorkerRecord worker) {
		return this.workersByReason != null && this.workersByReason.values()
			.stream()
			.allMatch((workers) -> workers.isEmpty() || (workers.size() == 1 && workers.contains(worker)));
	}

	/**
	 * Removes the failures on a worker on which everything fails, since they say nothing
	 * about the job.
	 * @param worker the worker
	 */
	void removeWorker(WorkerRecord worker) {
		if (this.workersByReason != null) {
			this.workersByReason.values().forEach((workers) -> workers.remove(worker));
		}
	}

}
