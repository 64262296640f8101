package io.lentilstream.tasks.log;

import java.util.List;

import io.lentilstream.tasks.JobSubmission;

/**
 * An entry of the shard log about tasks. Entries are idempotent, since a snapshot may
 * already contain entries that follow it in the log.
 */
public sealed interface TaskLogEntry {

	/**
	 * A job was accepted.
	 *
	 * @param jobSequence the sequence number of the job within the shard
	 * @param submission the job
	 */
	record JobAccepted(long jobSequence, JobSubmission submission) implements TaskLogEntry {
	}

	/**
	 * Tasks were placed on workers. The entry is durable before start commands are sent.
	 *
	 * @param placements the placements
	 */
	record TasksPlaced(List<Placement> placements) implements TaskLogEntry {
	}

	/**
	 * Tasks are known not to run on the worker on which they were last placed, and did
	 * not finish there. Without this entry, a new owner would commit capacity for them in
	 * addition to the tasks placed there since, and exceed the capacity of the VM.
	 *
	 * @param releases the released tasks with their workers
	 */
	record TasksReleased(List<Release> releases) implements TaskLogEntry {
	}

	/**
	 * A worker completed a checkpoint of a task.
	 *
	 * @param jobSequence the sequence number of the job
	 * @param index the index of the task
	 * @param checkpoint the checkpoint
	 */
	record CheckpointRecorded(long jobSequence, int index, String checkpoint) implements TaskLogEntry {
	}

	/**
	 * Tasks finished successfully.
	 *
	 * @param tasks the tasks
	 */
	record TasksFinished(List<TaskKey> tasks) implements TaskLogEntry {
	}

	/**
	 * A task failed and will not be retried.
	 *
	 * @param task the task
	 * @param reason the reason of the failure
	 */
	record TaskFailed(TaskKey task, String reason) implements TaskLogEntry {
	}

	/**
	 * A job failed, and none of its tasks will be retried.
	 *
	 * @param jobSequence the sequence number of the job
	 * @param reason the reason of the failure
	 */
	record JobFailed(long jobSequence, String reason) implements TaskLogEntry {
	}

	/**
	 * Jobs were cancelled.
	 *
	 * @param jobSequences the sequence numbers of the jobs
	 */
	record JobsCancelled(List<Long> jobSequences) implements TaskLogEntry {
	}

	/**
	 * No state changed, but the actions of the step depend on earlier entries that may
	 * not be durable yet. Delays the actions until these are durable.
	 */
	record Barrier() implements TaskLogEntry {
	}

	/**
	 * The key of a task within the shard.
	 *
	 * @param jobSequence the sequence number of the job
	 * @param index the index of the task within the job
	 */
	record TaskKey(long jobSequence, int index) {
	}

	/**
	 * The release of a task from a worker.
	 *
	 * @param task the task
	 * @param workerHash the 64-bit hash of the worker on which the task was placed
	 */
	record Release(TaskKey task, long workerHash) {
	}

	/**
	 * The placement of a task on a worker.
	 *
	 * @param task the task
	 * @param workerHash the 64-bit hash of the worker
	 * @param size the committed size relative to the declared size
	 */
	record Placement(TaskKey task, long workerHash, SizeFactor size) {
	}

}
