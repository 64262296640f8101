package io.lentilstream.clients;

import java.util.List;

import io.lentilstream.model.Epoch;

/**
 * Is the outcome of a command to a worker.
 */
public sealed interface WorkerOutcome {

	/**
	 * The worker carried the command out.
	 *
	 * @param reports the reports of the tasks that the command named, or of all tasks
	 */
	record Done(List<TaskReport> reports) implements WorkerOutcome {
	}

	/**
	 * The worker has seen a higher epoch of the shard and refused the command.
	 *
	 * @param highest the highest epoch that the worker has seen
	 */
	record Fenced(Epoch highest) implements WorkerOutcome {
	}

	/**
	 * The worker refused the command and changed nothing.
	 *
	 * @param reason a short reason
	 */
	record Refused(String reason) implements WorkerOutcome {
	}

	/**
	 * The worker did not answer; the command may or may not have taken effect.
	 *
	 * @param reason a short reason
	 */
	record NoReply(String reason) implements WorkerOutcome {
	}

}
