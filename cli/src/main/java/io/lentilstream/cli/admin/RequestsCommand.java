package io.lentilstream.cli.admin;

import com.beust.jcommander.Parameters;

/**
 * Shows the counts of services and recorded requests.
 */
@Parameters(commandDescription = "Show the counts of services and recorded requests")
public final class RequestsCommand extends QueryCommand {

	/**
	 * Creates the command.
	 */
	public RequestsCommand() {
		super("/admin/requests");
	}

}
