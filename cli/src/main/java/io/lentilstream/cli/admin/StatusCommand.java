package io.lentilstream.cli.admin;

import com.beust.jcommander.Parameters;

/**
 * The command that shows the shards that the entry VM owns and its peers.
 */
@Parameters(commandDescription = "Show the shards that the entry VM owns and its peers")
public final class StatusCommand extends AdminCommand {

	/**
	 * Creates the command.
	 */
	public StatusCommand() {
		super("/admin/status");
	}

}
