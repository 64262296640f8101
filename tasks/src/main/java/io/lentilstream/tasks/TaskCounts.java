package io.lentilstream.tasks;

import java.util.Map;

/**
 * Counts what a shard holds and what it decided since it was recovered.
 *
 * @param states the number of tasks in each state
 * @param jobs the number of known jobs, ended ones included
 * @param workers the number of listed workers
 * @param unresponsiveWorkers the number of workers without an answer within a task lease
 * @param workersOnProbation the number of workers on probation
 * @param unconfirmedTasks the number of tasks that an earlier owner may have started on
 * an unresponsive worker
 * @param starts the start commands decided
 * @param evictions the evictions decided
 * @param throttles the throttle commands decided
 * @param expiredLeases the tasks given up because their lease passed without an answer
 * @param oldestUrgentWaitMillis milliseconds that the longest waiting urgent task has
 * waited; 0 if none waits
 */
public record TaskCounts(Map<TaskState, Integer> states, int jobs, int workers, int unresponsiveWorkers,
		int workersOnProbation, int unconfirmedTasks, long starts, long evictions, long throttles, long expiredLeases,
		long oldestUrgentWaitMillis) {
}
