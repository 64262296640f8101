package io.lentilstream.tasks;

import java.time.Duration;

/**
 * Holds the settings of the decisions for tasks. {@link TaskDefaults#settings()} has the
 * defaults.
 *
 * @param taskLease how long a task may run without renewal
 * @param clockMargin time added to a task lease before the task may start elsewhere
 * @param outageGrace how long an owner past its commit deadline renews existing leases
 * @param reservedShare share of each VM that only urgent tasks get, from 0 to 1
 * @param urgentStartDeadline time within which an urgent task must start; batch work is
 * evicted for it well before
 * @param checkpointTimeout how long an eviction waits for a checkpoint
 * @param probation how long a worker that fails everything gets no work before its probe
 * @param failuresBeforeProbation failures in a row after which a worker is put on
 * probation
 * @param distinctWorkersBeforeFailure workers on which a task must fail in the same way
 * before it is given up
 * @param evictionsPerMinute largest number of evictions per minute for quotas and
 * overload
 * @param jobRetention how long an ended job is known, for deduplication and views
 * @param maxUnfinishedTasks largest number of unfinished tasks
 * @param maxTasksPerJob largest number of tasks of a job
 * @param unplaceableTimeout how long a job that fits on no VM waits before it fails
 * @param interferenceHalfLife time after which an observed interference counts half
 */
public record TaskSettings(Duration taskLease, Duration clockMargin, Duration outageGrace, double reservedShare,
		Duration urgentStartDeadline, Duration checkpointTimeout, Duration probation, int failuresBeforeProbation,
		int distinctWorkersBeforeFailure, int evictionsPerMinute, Duration jobRetention, int maxUnfinishedTasks,
		int maxTasksPerJob, Duration unplaceableTimeout, Duration interferenceHalfLife) {
}
