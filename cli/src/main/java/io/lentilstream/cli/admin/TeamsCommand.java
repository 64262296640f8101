package io.lentilstream.cli.admin;

import com.beust.jcommander.Parameters;

/**
 * The command that shows the teams of the settings in force.
 */
@Parameters(commandDescription = "Show the teams of the settings in force")
public final class TeamsCommand extends AdminCommand {

	/**
	 * Creates the command.
	 */
	public TeamsCommand() {
		super("/admin/teams");
	}

}
