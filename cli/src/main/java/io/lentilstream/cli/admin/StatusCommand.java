package io.lentilstream.cli.admin;

import com.beust.jcommander.Parameters;

/**
 * Shows the shards that the entry VM owns and its peers.
 */
@Parameters(commandDescription = "Show the shards that the entry VM owns and its peers")
public final class StatusCommand extends QueryCommand {

	/**
	 * Creates the command.
	 */
	public StatusCommand() {
		super("/admin/status");
	}

}
