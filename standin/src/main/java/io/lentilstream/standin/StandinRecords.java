package io.lentilstream.standin;

import java.util.List;
import java.util.Map;

import io.lentilstream.model.EndpointId;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.VmId;

/**
 * Is a copy of what ran so far.
 *
 * @param keyRuns the number of runs of each idempotency key, over all endpoints
 * @param taskRuns the intervals in which each task ran
 * @param workers what each worker saw
 * @param endpoints what each endpoint did
 * @param storeCalls the calls that reached the store
 */
public record StandinRecords(Map<String, Integer> keyRuns, Map<TaskId, List<TaskRun>> taskRuns,
		Map<VmId, WorkerRecord> workers, Map<EndpointId, EndpointRecord> endpoints, StoreCallCounts storeCalls) {

	/**
	 * Returns the idempotency keys that ran more than once.
	 * @return the keys in their order
	 */
	public List<String> repeatedKeys() {
		return this.keyRuns.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 1)
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

	/**
	 * Returns the tasks that ran in two places at once.
	 * @return the tasks in their order
	 */
	public List<TaskId> tasksInTwoPlaces() {
		return this.taskRuns.entrySet()
			.stream()
			.filter((entry) -> overlap(entry.getValue()))
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

	private static boolean overlap(List<TaskRun> runs) {
		for (int i = 0; i < runs.size(); i++) {
			for (int j = i + 1; j < runs.size(); j++) {
				if (runs.get(i).overlaps(runs.get(j))) {
					return true;
				}
			}
		}
		return false;
	}

	/**
	 * Returns the VMs that were committed beyond their capacity.
	 * @return the VMs in their order
	 */
	public List<VmId> vmsOverCapacity() {
		return this.workers.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().overCapacity())
			.map(Map.Entry::getKey)
			.sorted()
			.toList();
	}

}
