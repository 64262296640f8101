package io.lentilstream.tasks.scheduling;

import java.util.List;
import java.util.Optional;

import io.lentilstream.tasks.TaskState;
import io.lentilstream.tasks.log.LogDecodeOutcome;
import io.lentilstream.tasks.log.SizeFactor;
import io.lentilstream.tasks.log.TaskLogCodec;
import io.lentilstream.tasks.log.TaskLogEntry;
import io.lentilstream.tasks.log.TaskLogEntry.CheckpointRecorded;
import io.lentilstream.tasks.log.TaskLogEntry.JobAccepted;
import io.lentilstream.tasks.log.TaskLogEntry.JobFailed;
import io.lentilstream.tasks.log.TaskLogEntry.JobsCancelled;
import io.lentilstream.tasks.log.TaskLogEntry.Placement;
import io.lentilstream.tasks.log.TaskLogEntry.Release;
import io.lentilstream.tasks.log.TaskLogEntry.TaskFailed;
import io.lentilstream.tasks.log.TaskLogEntry.TaskKey;
import io.lentilstream.tasks.log.TaskLogEntry.TasksFinished;
import io.lentilstream.tasks.log.TaskLogEntry.TasksPlaced;
import io.lentilstream.tasks.log.TaskLogEntry.TasksReleased;

/**
 * The replay of log entries after a takeover. A placed task keeps its capacity on its
 * last worker until the worker lists its tasks or can no longer run the task. Entries
 * about unknown jobs are skipped: these jobs were dropped from the snapshot.
 */
final class LogReplay {

	private final ShardState state;

	private final TaskLifecycle lifecycle;

	private final Placements placements;

	LogReplay(ShardState state, TaskLifecycle lifecycle, Placements placements) {
		this.state = state;
		this.lifecycle = lifecycle;
		this.placements = placements;
	}

	Optional<String> applyAll(List<byte[]> entries) {
		int position = 0;
		for (byte[] bytes : entries) {
			LogDecodeOutcome outcome = TaskLogCodec.decode(bytes);
			if (outcome instanceof LogDecodeOutcome.Unreadable unreadable) {
				return Optional.of("entry " + position + ": " + unreadable.reason());
			}
			apply(((LogDecodeOutcome.Decoded) outcome).entry());
			position++;
		}
		return Optional.empty();
	}

	private void apply(TaskLogEntry entry) {
		if (entry instanceof JobAccepted accepted) {
			if (!this.state.jobsBySequence.containsKey(accepted.jobSequence())) {
				this.state.addJob(accepted.jobSequence(), accepted.submission(), this.state.takeover.nanos());
			}
		}
		else if (entry instanceof TasksPlaced placed) {
			for (Placement placement : placed.placements()) {
				place(placement.task(), placement.workerHash(), placement.size());
			}
		}
		else if (entry instanceof TasksReleased released) {
			released.releases().forEach(this::release);
		}
		else if (entry instanceof CheckpointRecorded recorded) {
			TaskRecord task = unendedTask(new TaskKey(recorded.jobSequence(), recorded.index()));
			if (task != null) {
				task.checkpoint = recorded.checkpoint();
			}
		}
		else if (entry instanceof TasksFinished finished) {
			finished.tasks().forEach((key) -> end(key, TaskEvent.FINISHED));
		}
		else if (entry instanceof TaskFailed failed) {
			end(failed.task(), TaskEvent.GIVEN_UP);
			JobRecord job = this.state.jobsBySequence.get(failed.task().jobSequence());
			if (job != null) {
				job.problem = failed.reason();
			}
		}
		else if (entry instanceof JobFailed failed) {
			JobRecord job = this.state.jobsBySequence.get(failed.jobSequence());
			if (job != null) {
				job.problem = failed.reason();
				endJob(job, TaskState.FAILED);
			}
		}
		else if (entry instanceof JobsCancelled cancelled) {
			for (long sequence : cancelled.jobSequences()) {
				JobRecord job = this.state.jobsBySequence.get(sequence);
				if (job != null) {
					endJob(job, TaskState.CANCELLED);
				}
			}
		}
	}

	/**
	 * Assigns a task to the worker where an earlier owner placed it last.
	 * @param key the task
	 * @param workerHash the hash by which the log names the worker
	 * @param size the committed size
	 */
	void place(TaskKey key, long workerHash, SizeFactor size) {
		TaskRecord task = unendedTask(key);
		if (task == null) {
			return;
		}
		if (task.worker != null) {
			this.placements.releaseReplayed(task);
		}
		this.lifecycle.apply(task, TaskEvent.PLACED);
		this.placements.adopt(task, this.state.worker(workerHash), size);
	}

	private void release(Release release) {
		JobRecord job = this.state.jobsBySequence.get(release.task().jobSequence());
		TaskRecord task = (job != null && release.task().index() < job.tasks.length) ? job.tasks[release.task().index()]
				: null;
		if (task != null && task.worker != null && task.worker.hash == release.workerHash()) {
			this.placements.releaseReplayed(task);
		}
	}

	/**
	 * Returns the record of a task that has not ended, and creates it if needed.
	 * @param key the task
	 * @return the record; {@code null} if the task ended or is not known
	 */
	TaskRecord unendedTask(TaskKey key) {
		JobRecord job = this.state.jobsBySequence.get(key.jobSequence());
		if (job == null || key.index() < 0 || key.index() >= job.tasks.length || job.endedAs != null) {
			return null;
		}
		TaskGroup group = job.groupOf(key.index());
		while (group.firstUnplaced <= key.index()) {
			// Tasks are placed for the first time in order of their index, so earlier
			// ones have records, unless the entry that placed them is missing.
			group.requeue(group.createNextRecord());
		}
		TaskRecord task = job.tasks[key.index()];
		return (task.group != null && !task.state.isEnded()) ? task : null;
	}

	/**
	 * Ends a task that its worker no longer runs, and releases its capacity.
	 * @param key the task
	 * @param event the event that ends it
	 */
	void end(TaskKey key, TaskEvent event) {
		TaskRecord task = unendedTask(key);
		if (task != null) {
			this.placements.releaseAndEnd(task, event);
		}
	}

	/**
	 * Ends a job. Tasks that may still run keep their capacity.
	 * @param job the job
	 * @param end the final state
	 */
	void endJob(JobRecord job, TaskState end) {
		if (job.endedAs != null) {
			return;
		}
		job.endedAs = end;
		TaskEvent event = (end == TaskState.CANCELLED) ? TaskEvent.CANCELLED : TaskEvent.GIVEN_UP;
		for (TaskGroup group : job.groups) {
			for (int i = group.first; i < group.firstUnplaced; i++) {
				TaskRecord task = job.tasks[i];
				if (task != null && task.group != null && !task.state.isEnded()) {
					this.lifecycle.apply(task, event);
				}
			}
			this.lifecycle.endUnplaced(group, end);
		}
	}

}
