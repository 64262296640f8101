package io.lentilstream.tasks;

import java.time.Duration;

/**
 * Holds the defaults of the settings for tasks.
 */
public final class TaskDefaults {

	/** Three renewals fit into one lease, so two lost renewals lapse no task. */
	public static final Duration TASK_LEASE = Duration.ofSeconds(30);

	/** Covers clock drift over a lease and a command that is late on the network. */
	public static final Duration CLOCK_MARGIN = Duration.ofSeconds(5);

	/** Lets running tasks survive an outage of the store. */
	public static final Duration OUTAGE_GRACE = Duration.ofMinutes(10);

	/** Share of each VM that batch tasks never get. */
	public static final double RESERVED_SHARE = 0.1;

	/** Time within which an urgent task must start. */
	public static final Duration URGENT_START_DEADLINE = Duration.ofSeconds(3);

	/** Time that an eviction waits for a checkpoint. */
	public static final Duration CHECKPOINT_TIMEOUT = Duration.ofSeconds(10);

	/** Time without work before the probe of a worker. */
	public static final Duration PROBATION = Duration.ofMinutes(1);

	/** Failures in a row that put a worker on probation. */
	public static final int FAILURES_BEFORE_PROBATION = 3;

	/** Workers on which a task fails in the same way before it is given up. */
	public static final int DISTINCT_WORKERS_BEFORE_FAILURE = 3;

	/** Evictions per minute and shard for quotas and overload. */
	public static final int EVICTIONS_PER_MINUTE = 60;

	/** Time that an ended job is known. */
	public static final Duration JOB_RETENTION = Duration.ofHours(1);

	/** Unfinished tasks per shard; 540,000 tasks are the design size of all shards. */
	public static final int MAX_UNFINISHED_TASKS = 600_000;

	/** Tasks per job. */
	public static final int MAX_TASKS_PER_JOB = 100_000;

	/** Time that a job larger than every VM waits for a larger VM to be listed. */
	public static final Duration UNPLACEABLE_TIMEOUT = Duration.ofMinutes(1);

	/** Time after which an observed interference counts half. */
	public static final Duration INTERFERENCE_HALF_LIFE = Duration.ofMinutes(10);

	/** Interval of ticks; every second one renews leases, the others do the rest. */
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
