package io.lentilstream.control.term;

import java.util.function.Consumer;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerListing;

/**
 * Forwards commands and runs a callback after each result, so that the scheduler can
 * react without waiting for its next tick.
 */
final class ResultNotifyingCommands implements WorkerCommands {

	private final WorkerCommands commands;

	private final Runnable onResult;

	ResultNotifyingCommands(WorkerCommands commands, Runnable onResult) {
		this.commands = commands;
		this.onResult = onResult;
	}

	@Override
	public void start(WorkerListing worker, StartCommand command, Consumer<CommandResult> callback) {
		this.commands.start(worker, command, callback.andThen((result) -> this.onResult.run()));
	}

	@Override
	public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> callback) {
		this.commands.stop(worker, task, run, callback.andThen((result) -> this.onResult.run()));
	}

	@Override
	public void setSpeed(WorkerListing worker, TaskName task, int run, int percent, Consumer<CommandResult> callback) {
		this.commands.setSpeed(worker, task, run, percent, callback.andThen((result) -> this.onResult.run()));
	}

	@Override
	public void requestReport(WorkerListing worker, ReportRequest request, Consumer<ReportResult> callback) {
		this.commands.requestReport(worker, request, callback.andThen((result) -> this.onResult.run()));
	}

}
