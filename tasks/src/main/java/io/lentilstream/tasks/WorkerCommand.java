package io.lentilstream.tasks;

import java.time.Duration;
import java.util.List;

import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.model.TaskId;

/**
 * A command to a worker. The daemon adds the shard and its epoch when it sends it.
 */
public sealed interface WorkerCommand {

	/**
	 * Returns the sequence number of the command, which increases within one
	 * {@link TaskShard}.
	 * @return the sequence number of the command
	 */
	long id();

	/**
	 * Starts a task.
	 *
	 * @param id the sequence number of the command
	 * @param task the specification of the task
	 * @param lease how long the task may run without a lease renewal
	 */
	record Start(long id, TaskSpecification task, Duration lease) implements WorkerCommand {
	}

	/**
	 * Renews the leases of all tasks on the worker and requests their reports.
	 *
	 * @param id the sequence number of the command
	 * @param lease how long the tasks may run until the next renewal
	 */
	record Renew(long id, Duration lease) implements WorkerCommand {
	}

	/**
	 * Takes a checkpoint of a task.
	 *
	 * @param id the sequence number of the command
	 * @param task the task
	 */
	record Checkpoint(long id, TaskId task) implements WorkerCommand {
	}

	/**
	 * Limits the CPU time of a task.
	 *
	 * @param id the sequence number of the command
	 * @param task the task
	 * @param share the share of its committed cores, from 0 to 1
	 */
	record Throttle(long id, TaskId task, double share) implements WorkerCommand {
	}

	/**
	 * Stops tasks.
	 *
	 * @param id the sequence number of the command
	 * @param tasks the tasks
	 */
	record Stop(long id, List<TaskId> tasks) implements WorkerCommand {
	}

}
