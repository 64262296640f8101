package io.lentilstream.tasks.log;

import java.util.List;

import io.lentilstream.tasks.JobSubmission;

/**
 * One entry of the shard log about tasks. Applying an entry twice has the effect of
 * applying it once, since a snapshot may already contain entries that follow it in the
 * log.
 */
public sealed interface TaskLogEntry {

	/**
	 * A job was accepted.
	 *
	 * @param jobSequence the number of the job within the shard
	 * @param submission the job
	 */
	record JobAccepted(long jobSequence, JobSubmission submission) implements TaskLogEntry {
	}

	/**
	 * Tasks were placed; written before the start commands are sent.
	 *
	 * @param placements the placements
	 */
	record TasksPlaced(List<Placement> placements) implements TaskLogEntry {
	}

	/**
	 * Tasks certainly do not run at the worker where they were placed last, and did not
	 * finish there. Without this entry, a new owner would commit capacity for them beside
	 * the tasks that were placed there since, and exceed the capacity of the VM.
	 *
	 * @param releases the tasks and the workers
	 */
	record TasksReleased(List<Release> releases) implements TaskLogEntry {
	}

	/**
	 * A worker completed a checkpoint.
	 *
	 * @param jobSequence the number of the job
	 * @param index the index of the task
	 * @param checkpoint the checkpoint
	 */
	record CheckpointRecorded(long jobSequence, int index, String checkpoint) implements TaskLogEntry {
	}

	/**
	 * Tasks finished.
	 *
	 * @param tasks the tasks
	 */
	record TasksFinished(List<TaskKey> tasks) implements TaskLogEntry {
	}

	/**
	 * A task will not be tried again.
	 *
	 * @param task the task
	 * @param reason the reason
	 */
	record TaskFailed(TaskKey task, String reason) implements TaskLogEntry {
	}

	/**
	 * No task of a job will be tried again.
	 *
	 * @param jobSequence the number of the job
	 * @param reason the reason
	 */
	record JobFailed(long jobSequence, String reason) implements TaskLogEntry {
	}

	/**
	 * Jobs were cancelled.
	 *
	 * @param jobSequences the numbers of the jobs
	 */
	record JobsCancelled(List<Long> jobSequences) implements TaskLogEntry {
	}

	/**
	 * Nothing changed, but the actions of the step depend on entries that may not be
	 * durable yet.
	 */
	record Barrier() implements TaskLogEntry {
	}

	/**
	 * Names a task within the shard.
	 *
	 * @param jobSequence the number of the job
	 * @param index the index of the task within the job
	 */
	record TaskKey(long jobSequence, int index) {
	}

	/**
	 * Releases one task.
	 *
	 * @param task the task
	 * @param worker the 8-byte index of the worker where it was placed
	 */
	record Release(TaskKey task, long worker) {
	}

	/**
	 * Places one task.
	 *
	 * @param task the task
	 * @param worker the 8-byte index of the worker
	 * @param size the committed size as parts of the declared size
	 */
	record Placement(TaskKey task, long worker, SizeFactor size) {
	}

}
