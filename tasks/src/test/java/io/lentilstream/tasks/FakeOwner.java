package io.lentilstream.tasks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

import io.lentilstream.clients.WorkerOutcome;
import io.lentilstream.model.MonotonicTime;

/**
 * Does for one {@link TaskShard} what the entry daemon does: entries first, then actions.
 */
final class FakeOwner {

	final TaskShard shard;

	MonotonicTime commitDeadline;

	/** Steps whose entries are not durable yet. */
	final ArrayDeque<TaskStep> uncommitted = new ArrayDeque<>();

	/** Commands that were not delivered yet. */
	final List<Sent> outbox = new ArrayList<>();

	/** Outcomes that have not reached the owner yet. */
	final List<Answer> inbox = new ArrayList<>();

	/** Answers that were given to submitters. */
	final List<TaskAction.Respond> told = new ArrayList<>();

	FakeOwner(TaskShard shard) {
		this.shard = shard;
	}

	void take(TaskStep step, MonotonicTime now) {
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
				this.outbox.add(new Sent(send, now));
			}
			else {
				this.told.add((TaskAction.Respond) action);
			}
		}
	}

	/**
	 * A command on its way to a worker.
	 *
	 * @param send the command
	 * @param time when it was sent; connections time out before the clock margin has
	 * passed
	 */
	record Sent(TaskAction.Send send, MonotonicTime time) {
	}

	/**
	 * The outcome of a command on its way to the owner.
	 *
	 * @param send the command
	 * @param outcome the outcome
	 */
	record Answer(TaskAction.Send send, WorkerOutcome outcome) {
	}

}
