package io.lentilstream.control.term;

import java.util.function.Consumer;

import io.lentilstream.jobs.OrderAnswer;
import io.lentilstream.jobs.TaskName;
import io.lentilstream.jobs.WorkerListing;
import io.lentilstream.jobs.WorkerOrders;

/**
 * Passes orders on, and lets the scheduler act after each answer.
 */
final class PromptOrders implements WorkerOrders {

	private final WorkerOrders orders;

	private final Runnable answered;

	PromptOrders(WorkerOrders orders, Runnable answered) {
		this.orders = orders;
		this.answered = answered;
	}

	@Override
	public void start(WorkerListing worker, StartOrder order, Consumer<OrderAnswer> answer) {
		this.orders.start(worker, order, answer.andThen((outcome) -> this.answered.run()));
	}

	@Override
	public void stop(WorkerListing worker, TaskName task, int run, Consumer<OrderAnswer> answer) {
		this.orders.stop(worker, task, run, answer.andThen((outcome) -> this.answered.run()));
	}

	@Override
	public void pace(WorkerListing worker, TaskName task, int run, int percent, Consumer<OrderAnswer> answer) {
		this.orders.pace(worker, task, run, percent, answer.andThen((outcome) -> this.answered.run()));
	}

	@Override
	public void hold(WorkerListing worker, HoldOrder order, Consumer<HoldAnswer> answer) {
		this.orders.hold(worker, order, answer.andThen((outcome) -> this.answered.run()));
	}

}
