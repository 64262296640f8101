package io.lentilstream.cli.admin;

import java.io.IOException;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The command that starts the graceful shutdown of an entry VM.
 */
@Parameters(commandDescription = "Start the graceful shutdown of the entry VM")
public final class DrainCommand extends AdminCommand {

	/**
	 * Creates the command.
	 */
	public DrainCommand() {
		super("/admin/drain");
	}

	@Override
	AdminClient.AdminResponse call(AdminClient client, String target) throws IOException {
		return client.post(target, JsonNodeFactory.instance.objectNode());
	}

}
