package io.lentilstream.tasks.scheduling;

import java.time.Duration;

import io.lentilstream.clients.TaskReport;
import io.lentilstream.model.MonotonicTime;
import io.lentilstream.model.Urgency;
import io.lentilstream.tasks.WorkerCommand;
import io.lentilstream.tasks.log.TaskLogEntry;

/**
 * The recorder of completed checkpoints. It requests checkpoints periodically, so that
 * the loss of a VM costs at most one interval of progress.
 */
final class CheckpointManager {

	// With 450,000 batch tasks, this makes 1,500 checkpoints per second over all shards.
	static final Duration INTERVAL = Duration.ofMinutes(5);

	private final ShardState state;

	CheckpointManager(ShardState state) {
		this.state = state;
	}

	/**
	 * Records the checkpoint in a report unless a newer command already returned one.
	 * @param task the task
	 * @param report the report
	 * @param command the command whose outcome has the report
	 * @param step the step
	 * @param now the current time
	 */
	void record(TaskRecord task, TaskReport report, long command, StepBuilder step, MonotonicTime now) {
		String checkpoint = report.checkpoint().orElse(null);
		if (checkpoint == null || checkpoint.equals(task.checkpoint) || command < task.checkpointCommand) {
			return;
		}
		task.checkpoint = checkpoint;
		task.checkpointCommand = command;
		task.progressSavedNanos = now.nanos();
		if (!task.state.isEnded()) {
			step.addEntry(new TaskLogEntry.CheckpointRecorded(task.group.job.sequence, task.index, checkpoint));
		}
	}

	void requestIfDue(TaskRecord task, StepBuilder step, MonotonicTime now) {
		if (task.isRunning() && task.outstandingCommand == 0 && task.group.taskClass.key.urgency() != Urgency.URGENT
				&& now.nanos() - task.progressSavedNanos >= INTERVAL.toNanos() && this.state.mayCommit(now)) {
			request(task, step);
		}
	}

	void request(TaskRecord task, StepBuilder step) {
		task.outstandingCommand = this.state.nextCommand();
		step.addCommand(task.worker, new WorkerCommand.Checkpoint(task.outstandingCommand, this.state.taskId(task)));
	}

}
