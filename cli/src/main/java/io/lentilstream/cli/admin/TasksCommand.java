package io.lentilstream.cli.admin;

import com.beust.jcommander.Parameters;

/**
 * The command that shows the jobs of the shards that the entry VM owns.
 */
@Parameters(commandDescription = "Show the jobs of the shards that the entry VM owns")
public final class TasksCommand extends AdminCommand {

	/**
	 * Creates the command.
	 */
	public TasksCommand() {
		super("/admin/tasks");
	}

}
