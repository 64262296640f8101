package io.lentilstream.tasks.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.lentilstream.model.TaskId;
import io.lentilstream.tasks.TaskAction;
import io.lentilstream.tasks.TaskStep;
import io.lentilstream.tasks.WorkerCommand;
import io.lentilstream.tasks.log.TaskLogCodec;
import io.lentilstream.tasks.log.TaskLogEntry;

/**
 * A builder of the log entries and actions of one step. Placements, releases, ends and
 * stops are batched, so that many of them at once need few entries and commands.
 */
final class StepBuilder {

	private final List<TaskLogEntry> entries = new ArrayList<>();

	private final List<TaskLogEntry.TaskKey> finished = new ArrayList<>();

	private final List<TaskLogEntry.Placement> placements = new ArrayList<>();

	private final List<TaskLogEntry.Release> releases = new ArrayList<>();

	private final List<TaskAction> responses = new ArrayList<>();

	private final List<TaskAction> commands = new ArrayList<>();

	private final Map<WorkerRecord, StopCommand> stops = new LinkedHashMap<>();

	void addEntry(TaskLogEntry entry) {
		this.entries.add(entry);
	}

	void addFinished(TaskRecord task) {
		this.finished.add(key(task));
	}

	void addPlacement(TaskRecord task) {
		this.placements.add(new TaskLogEntry.Placement(key(task), task.worker.hash, task.sizeFactor));
	}

	void addReleases(List<TaskLogEntry.Release> released) {
		this.releases.addAll(released);
	}

	int placementCount() {
		return this.placements.size();
	}

	void addResponse(TaskAction.Respond response) {
		this.responses.add(response);
	}

	void addCommand(WorkerRecord worker, WorkerCommand command) {
		this.commands.add(new TaskAction.Send(worker.vm, command));
	}

	/**
	 * Adds a task to the stop command for a worker. A step has at most one such command
	 * per worker.
	 * @param state the state of the shard
	 * @param worker the worker
	 * @param task the task
	 * @return the number of the command
	 */
	long addStop(ShardState state, WorkerRecord worker, TaskId task) {
		StopCommand stop = this.stops.computeIfAbsent(worker, (key) -> new StopCommand(state.nextCommand()));
		stop.tasks.add(task);
		return stop.id;
	}

	static TaskLogEntry.TaskKey key(TaskRecord task) {
		return new TaskLogEntry.TaskKey(task.group.job.sequence, task.index);
	}

	TaskStep build() {
		if (!this.finished.isEmpty()) {
			this.entries.add(new TaskLogEntry.TasksFinished(this.finished));
		}
		if (!this.releases.isEmpty()) {
			this.entries.add(new TaskLogEntry.TasksReleased(this.releases));
		}
		if (!this.placements.isEmpty()) {
			this.entries.add(new TaskLogEntry.TasksPlaced(this.placements));
		}
		if (this.entries.isEmpty() && this.responses.isEmpty() && this.commands.isEmpty() && this.stops.isEmpty()) {
			return TaskStep.EMPTY;
		}
		List<byte[]> bytes = new ArrayList<>(this.entries.size());
		for (TaskLogEntry entry : this.entries) {
			bytes.add(TaskLogCodec.encode(entry));
		}
		List<TaskAction> actions = new ArrayList<>(this.responses.size() + this.stops.size() + this.commands.size());
		actions.addAll(this.responses);
		this.stops.forEach((worker, stop) -> actions
			.add(new TaskAction.Send(worker.vm, new WorkerCommand.Stop(stop.id, List.copyOf(stop.tasks)))));
		actions.addAll(this.commands);
		return new TaskStep(bytes, actions);
	}

	private static final class StopCommand {

		private final long id;

		private final List<TaskId> tasks = new ArrayList<>();

		private StopCommand(long id) {
			this.id = id;
		}

	}

}
