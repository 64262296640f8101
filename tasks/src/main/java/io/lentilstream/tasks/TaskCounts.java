package io.lentilstream.tasks;

import java.util.Map;

/**
 * The numbers of jobs, tasks and workers of a shard, and of its decisions since recovery.
 *
 * @param states the number of tasks in each state
 * @param jobs the number of known jobs, including ended ones
 * @param workers the number of listed workers
 * @param unresponsiveWorkers the number of workers without a reply within a task lease
 * @param workersOnProbation the number of workers on probation
 * @param unconfirmedTasks the number of tasks that an earlier owner may have started on
 * an unresponsive worker
 * @param starts the number of start commands issued
 * @param evictions the number of evictions
 * @param throttles the number of throttle commands issued
 * @param expiredLeases the tasks whose lease expired without a reply of their worker
 * @param oldestUrgentWaitMillis milliseconds for which the oldest pending urgent task has
 * waited; 0 if there is none
 */
public record TaskCounts(Map<TaskState, Integer> states, int jobs, int workers, int unresponsiveWorkers,
		int workersOnProbation, int unconfirmedTasks, long starts, long evictions, long throttles, long expiredLeases,
		long oldestUrgentWaitMillis) {
}
