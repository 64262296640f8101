package io.lentilstream.cli.admin;

import com.beust.jcommander.Parameters;

/**
 * Shows the jobs of the shards that the entry VM owns.
 */
@Parameters(commandDescription = "Show the jobs of the shards that the entry VM owns")
public final class TasksCommand extends QueryCommand {

	/**
	 * Creates the command.
	 */
	public TasksCommand() {
		super("/admin/tasks");
	}

}
