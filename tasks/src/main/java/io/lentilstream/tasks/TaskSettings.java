package io.lentilstream.tasks;

import java.time.Duration;

/**
 * The settings of the task scheduler, with defaults in {@link TaskDefaults#settings()}.
 *
 * @param taskLease how long a task may run without a lease renewal
 * @param clockMargin time added to a task lease before the task may start elsewhere
 * @param outageGrace how long an owner renews existing leases after its commit deadline
 * @param reservedShare share of the cores and memory of each VM that only urgent tasks
 * may use, from 0 to 1
 * @param urgentStartDeadline time within which an urgent task must start; batch tasks are
 * evicted well before it passes
 * @param checkpointTimeout how long an eviction waits for a checkpoint
 * @param probation how long a worker on which every task fails gets no work before its
 * probe task
 * @param failuresBeforeProbation number of consecutive failures after which a worker is
 * put on probation
 * @param distinctWorkersBeforeFailure number of distinct workers on which a task must
 * fail for the same reason before it is given up
 * @param evictionsPerMinute maximum evictions per minute for fair shares and overload
 * @param jobRetention how long an ended job is retained for deduplication and views
 * @param maxUnfinishedTasks maximum number of unfinished tasks
 * @param maxTasksPerJob maximum number of tasks of a job
 * @param unplaceableTimeout how long a job that fits on no VM waits before it fails
 * @param interferenceHalfLife time after which the weight of an interference observation
 * has halved
 */
public record TaskSettings(Duration taskLease, Duration clockMargin, Duration outageGrace, double reservedShare,
		Duration urgentStartDeadline, Duration checkpointTimeout, Duration probation, int failuresBeforeProbation,
		int distinctWorkersBeforeFailure, int evictionsPerMinute, Duration jobRetention, int maxUnfinishedTasks,
		int maxTasksPerJob, Duration unplaceableTimeout, Duration interferenceHalfLife) {
}
