package io.lentilstream.cli.admin;

import com.beust.jcommander.Parameters;

/**
 * The command that shows the counts of services and recorded requests.
 */
@Parameters(commandDescription = "Show the counts of services and recorded requests")
public final class RequestsCommand extends AdminCommand {

	/**
	 * Creates the command.
	 */
	public RequestsCommand() {
		super("/admin/requests");
	}

}
