package io.lentilstream.control.term;

import java.util.function.Consumer;

import io.lentilstream.jobs.CommandResult;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerCommands;
import io.lentilstream.jobs.WorkerListing;

/**
 * Passes orders on, and lets the scheduler act after each answer.
 */
final class PromptOrders implements WorkerCommands {

	private final WorkerCommands orders;

	private final Runnable answered;

	PromptOrders(WorkerCommands orders, Runnable answered) {
		this.orders = orders;
		this.answered = answered;
	}

	@Override
	public void start(WorkerListing worker, StartCommand order, Consumer<CommandResult> answer) {
		this.orders.start(worker, order, answer.andThen((outcome) -> this.answered.run()));
	}

	@Override
	public void stop(WorkerListing worker, TaskName task, int run, Consumer<CommandResult> answer) {
		this.orders.stop(worker, task, run, answer.andThen((outcome) -> this.answered.run()));
	}

	@Override
	public void setSpeed(WorkerListing worker, TaskName task, int run, int percent, Consumer<CommandResult> answer) {
		this.orders.setSpeed(worker, task, run, percent, answer.andThen((outcome) -> this.answered.run()));
	}

	@Override
	public void requestReport(WorkerListing worker, ReportRequest order, Consumer<ReportResult> answer) {
		this.orders.requestReport(worker, order, answer.andThen((outcome) -> this.answered.run()));
	}

}
