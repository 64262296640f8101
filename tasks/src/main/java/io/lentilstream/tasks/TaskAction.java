package io.lentilstream.tasks;

import io.lentilstream.model.JobId;
import io.lentilstream.model.TeamId;
import io.lentilstream.model.VmId;

/**
 * An action that the daemon carries out once the entries of the same step are durable.
 */
public sealed interface TaskAction {

	/**
	 * Send a command to a worker. Every command must be answered exactly once with
	 * {@link TaskShard#handleCommandOutcome}; a command whose connection broke or timed
	 * out is answered with {@code NoReply}, and must not be able to arrive after that.
	 *
	 * @param vm the VM of the worker
	 * @param command the command
	 */
	record Send(VmId vm, WorkerCommand command) implements TaskAction {
	}

	/**
	 * Tell the caller of {@code submit} or {@code cancel} the result.
	 *
	 * @param team the team
	 * @param job the key of the job
	 * @param response the result
	 */
	record Respond(TeamId team, JobId job, JobResponse response) implements TaskAction {
	}

}
