package io.lentilstream.tasks;

import java.time.Duration;

/**
 * Default values of {@link TaskSettings}.
 */
public final class TaskDefaults {

	/** Covers three renewals, so a lease survives two lost renewals. */
	public static final Duration TASK_LEASE = Duration.ofSeconds(30);

	/** Covers clock drift during a lease and the network delay of a command. */
	public static final Duration CLOCK_MARGIN = Duration.ofSeconds(5);

	/** Keeps running tasks alive during an outage of the store. */
	public static final Duration OUTAGE_GRACE = Duration.ofMinutes(10);

	/** Share of the cores and memory of each VM that only urgent tasks may use. */
	public static final double RESERVED_SHARE = 0.1;

	/** Time within which an urgent task must start. */
	public static final Duration URGENT_START_DEADLINE = Duration.ofSeconds(3);

	/** Time for which an eviction waits for a checkpoint. */
	public static final Duration CHECKPOINT_TIMEOUT = Duration.ofSeconds(10);

	/** Time for which a worker on probation gets no work before its probe task. */
	public static final Duration PROBATION = Duration.ofMinutes(1);

	/** Consecutive failures that put a worker on probation. */
	public static final int FAILURES_BEFORE_PROBATION = 3;

	/**
	 * Distinct workers on which a task fails for the same reason before it is given up.
	 */
	public static final int DISTINCT_WORKERS_BEFORE_FAILURE = 3;

	/** Maximum evictions per minute and shard for fair shares and overload. */
	public static final int EVICTIONS_PER_MINUTE = 60;

	/** Time for which an ended job is retained. */
	public static final Duration JOB_RETENTION = Duration.ofHours(1);

	/**
	 * Maximum unfinished tasks per shard; all shards together are designed for 540,000.
	 */
	public static final int MAX_UNFINISHED_TASKS = 600_000;

	/** Maximum number of tasks of a job. */
	public static final int MAX_TASKS_PER_JOB = 100_000;

	/** Time for which a job that fits no listed VM waits for a larger one. */
	public static final Duration UNPLACEABLE_TIMEOUT = Duration.ofMinutes(1);

	/** Time after which the weight of an interference observation has halved. */
	public static final Duration INTERFERENCE_HALF_LIFE = Duration.ofMinutes(10);

	/**
	 * Interval between ticks; every second tick renews leases, the others schedule tasks.
	 */
	public static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private TaskDefaults() {
	}

	/**
	 * Returns the default settings.
	 * @return the default settings
	 */
	public static TaskSettings settings() {
		return new TaskSettings(TASK_LEASE, CLOCK_MARGIN, OUTAGE_GRACE, RESERVED_SHARE, URGENT_START_DEADLINE,
				CHECKPOINT_TIMEOUT, PROBATION, FAILURES_BEFORE_PROBATION, DISTINCT_WORKERS_BEFORE_FAILURE,
				EVICTIONS_PER_MINUTE, JOB_RETENTION, MAX_UNFINISHED_TASKS, MAX_TASKS_PER_JOB, UNPLACEABLE_TIMEOUT,
				INTERFERENCE_HALF_LIFE);
	}

}
