package io.lentilstream.clients;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.lentilstream.model.Epoch;
import io.lentilstream.model.ShardId;
import io.lentilstream.model.TaskId;
import io.lentilstream.model.VmId;

/**
 * Commands workers. Every command carries the shard's epoch; a worker refuses a lower
 * epoch than the highest it has seen of the shard. No future completes exceptionally.
 */
public interface WorkerClient {

	/**
	 * Starts a task under a lease. Starting a task that already runs at the worker
	 * changes nothing.
	 * @param vm the VM of the worker
	 * @param shard the shard that owns the VM
	 * @param epoch the epoch of the sender
	 * @param task what to run
	 * @param lease how long the task may run without renewal
	 * @return the outcome
	 */
	CompletableFuture<WorkerOutcome> start(VmId vm, ShardId shard, Epoch epoch, TaskSpecification task, Duration lease);

	/**
	 * Renews the leases of all tasks of the shard at the worker and returns their
	 * reports.
	 * @param vm the VM of the worker
	 * @param shard the shard that owns the VM
	 * @param epoch the epoch of the sender
	 * @param lease how long the tasks may run without another renewal
	 * @return the outcome with the reports of all tasks
	 */
	CompletableFuture<WorkerOutcome> renew(VmId vm, ShardId shard, Epoch epoch, Duration lease);

	/**
	 * Takes a checkpoint of a task.
	 * @param vm the VM of the worker
	 * @param shard the shard that owns the VM
	 * @param epoch the epoch of the sender
	 * @param task the task
	 * @return the outcome with the report of the task
	 */
	CompletableFuture<WorkerOutcome> checkpoint(VmId vm, ShardId shard, Epoch epoch, TaskId task);

	/**
	 * Limits the processor time of a task.
	 * @param vm the VM of the worker
	 * @param shard the shard that owns the VM
	 * @param epoch the epoch of the sender
	 * @param task the task
	 * @param share the share of its declared processor time, from 0 to 1
	 * @return the outcome with the report of the task
	 */
	CompletableFuture<WorkerOutcome> throttle(VmId vm, ShardId shard, Epoch epoch, TaskId task, double share);

	/**
	 * Stops tasks; a task that does not run counts as stopped.
	 * @param vm the VM of the worker
	 * @param shard the shard that owns the VM
	 * @param epoch the epoch of the sender
	 * @param tasks the tasks
	 * @return the outcome with the reports of the tasks
	 */
	CompletableFuture<WorkerOutcome> stop(VmId vm, ShardId shard, Epoch epoch, List<TaskId> tasks);

}
