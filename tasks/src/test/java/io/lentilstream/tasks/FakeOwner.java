package io.lentilstream.tasks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.MonotonicTime;

/**
 * A stand-in for the entry daemon that owns a {@link TaskShard}. Runs the actions of a
 * step after its entries are durable.
 */
final class FakeOwner {

	final TaskShard shard;

	MonotonicTime commitDeadline;

	/** Steps whose entries are not yet durable. */
	final ArrayDeque<TaskStep> uncommitted = new ArrayDeque<>();

	/** Commands that have not reached their worker yet. */
	final List<SentCommand> outbox = new ArrayList<>();

	/** Outcomes that have not reached the owner yet. */
	final List<CommandOutcome> inbox = new ArrayList<>();

	/** Responses that were sent to submitters. */
	final List<TaskAction.Respond> responses = new ArrayList<>();

	FakeOwner(TaskShard shard) {
		this.shard = shard;
	}

	void process(TaskStep step, MonotonicTime now) {
		if (step.entries().isEmpty()) {
			run(step, now);
		}
		else {
			this.uncommitted.add(step);
		}
	}

	void run(TaskStep step, MonotonicTime now) {
		for (TaskAction action : step.actions()) {
			if (action instanceof TaskAction.Send send) {
				this.outbox.add(new SentCommand(send, now));
			}
			else {
				this.responses.add((TaskAction.Respond) action);
			}
		}
	}

	/**
	 * A command on its way to a worker.
	 *
	 * @param send the command
	 * @param time the time at which it was sent; connections time out within the clock
	 * margin after it
	 */
	record SentCommand(TaskAction.Send send, MonotonicTime time) {
	}

	/**
	 * The outcome of a command on its way to the owner.
	 *
	 * @param send the command
	 * @param outcome the outcome
	 */
	record CommandOutcome(TaskAction.Send send, WorkerOutcome outcome) {
	}

}
