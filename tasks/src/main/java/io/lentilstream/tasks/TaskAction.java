package io.lentilstream.tasks;

import io.lentilstream.model.JobId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;

/**
 * An action to carry out after the log entries of the same step are durable.
 */
public sealed interface TaskAction {

	/**
	 * Sends a command to a worker. The daemon must report the outcome of every command
	 * exactly once to {@link TaskShard#handleCommandOutcome}. If the connection broke or
	 * timed out, the outcome is {@code NoReply}, and the command must not reach the
	 * worker afterwards.
	 *
	 * @param vm the VM of the worker
	 * @param command the command
	 */
	record Send(VmId vm, WorkerCommand command) implements TaskAction {
	}

	/**
	 * Sends the response to the caller of {@code submit} or {@code cancel}.
	 *
	 * @param team the team
	 * @param job the key of the job
	 * @param response the response
	 */
	record Respond(TeamId team, JobId job, JobResponse response) implements TaskAction {
	}

}
