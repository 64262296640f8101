package io.lentilstream.tasks;

import java.time.Duration;
import java.util.List;

import io.lentilstream.clients.TaskSpecification;
import io.lentilstream.model.TaskId;

/**
 * A command to a worker. The daemon adds the shard and its epoch.
 */
public sealed interface WorkerCommand {

	/**
	 * Returns the number of the command, which grows within one {@link TaskShard}.
	 * @return the number of the command
	 */
	long id();

	/**
	 * Start a task.
	 *
	 * @param id the number of the command
	 * @param task what to run
	 * @param lease how long the task may run without renewal
	 */
	record Start(long id, TaskSpecification task, Duration lease) implements WorkerCommand {
	}

	/**
	 * Renew the leases of all tasks at the worker and return their reports.
	 *
	 * @param id the number of the command
	 * @param lease how long the tasks may run without another renewal
	 */
	record Renew(long id, Duration lease) implements WorkerCommand {
	}

	/**
	 * Take a checkpoint of a task.
	 *
	 * @param id the number of the command
	 * @param task the task
	 */
	record Checkpoint(long id, TaskId task) implements WorkerCommand {
	}

	/**
	 * Limit the processor time of a task.
	 *
	 * @param id the number of the command
	 * @param task the task
	 * @param share the share of its size in cores, from 0 to 1
	 */
	record Throttle(long id, TaskId task, double share) implements WorkerCommand {
	}

	/**
	 * Stop tasks.
	 *
	 * @param id the number of the command
	 * @param tasks the tasks
	 */
	record Stop(long id, List<TaskId> tasks) implements WorkerCommand {
	}

}
